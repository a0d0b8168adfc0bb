use std::collections::VecDeque;
use std::time::Duration;

use cicadalock_core::serving::PromptShape;

use super::load_file::EngineSettings;
use super::prefix_cache::PrefixCache;

/// A request at an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRun {
    /// Its number.
    pub number: u64,
    /// Its prompt.
    pub prompt: PromptShape,
    /// Tokens that it generates.
    pub output: u32,
}

/// What a step of an engine brings forth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// An event of a request's stream.
    Piece(u64),
    /// The last event of a request's stream.
    Last(u64),
}

/// A model engine: continuous batching, prompts read in chunks between the steps of running
/// requests, admission in order of arrival, kept prefixes, preemption of the newest.
#[derive(Debug, Clone)]
pub struct EngineModel {
    settings: EngineSettings,
    waiting: VecDeque<EngineRun>,
    running: Vec<RunState>,
    cache: PrefixCache,
    /// Prompt tokens read, and found kept.
    read: (u64, u64),
}

#[derive(Debug, Clone)]
struct RunState {
    run: EngineRun,
    unread: u32,
    made: u32,
    /// Prompt tokens that the present step reads.
    reads: u32,
    decodes: bool,
}

impl RunState {
    fn context(&self) -> u64 {
        u64::from(self.run.prompt.tokens() - self.unread) + u64::from(self.made)
    }

    /// Memory that does not yield.
    fn memory(&self) -> u64 {
        u64::from(self.run.prompt.tokens()) + u64::from(self.made)
    }
}

impl EngineModel {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            settings,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: PrefixCache::default(),
            read: (0, 0),
        }
    }

    /// Takes in a request, behind those that wait.
    pub fn push(&mut self, run: EngineRun) {
        self.waiting.push_back(run);
    }

    /// Drops a request whose caller has left.
    pub fn cancel(&mut self, number: u64) {
        self.waiting.retain(|run| run.number != number);
        self.running.retain(|state| state.run.number != number);
    }

    /// Prompt tokens read, and found kept, so far.
    #[must_use]
    pub const fn read_and_kept(&self) -> (u64, u64) {
        self.read
    }

    /// Begins a step and tells how long it takes; none if there is nothing to do.
    pub fn begin_step(&mut self) -> Option<Duration> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let mut left = self.settings.chunk_tokens;
        let mut pairs = 0.0;
        for state in &mut self.running {
            state.decodes = state.unread == 0;
            state.reads = state.unread.min(left);
            left -= state.reads;
            let context = state.context() as f64 + f64::from(state.reads) / 2.0;
            pairs += f64::from(state.reads) * context;
        }
        let read = f64::from(self.settings.chunk_tokens - left);
        let context: u64 = self.running.iter().map(RunState::context).sum();
        let settings = &self.settings;
        let micros = settings.step_us
            + settings.step_us_per_request * self.running.len() as f64
            + settings.step_us_per_context_k * context as f64 / 1e3
            + read / settings.read_per_ms * 1e3
            + settings.read_us_per_pair_m * pairs / 1e6;
        Some(Duration::from_secs_f64(micros / 1e6))
    }

    /// Ends the step and tells what it brought forth.
    pub fn end_step(&mut self) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        let stride = self.settings.tokens_per_event;
        for state in &mut self.running {
            self.read.0 += u64::from(state.reads);
            state.unread -= state.reads;
            state.reads = 0;
            if state.decodes {
                state.made += 1;
                let number = state.run.number;
                if state.made >= state.run.output {
                    events.push(EngineEvent::Last(number));
                } else if (state.made - 1) % stride == 0 {
                    // The first token is sent alone.
                    events.push(EngineEvent::Piece(number));
                }
            }
        }
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|state| state.made >= state.run.output);
        self.running = running;
        for state in ended {
            self.cache.keep(&state.run.prompt, self.room());
        }
        self.preempt();
        events
    }

    /// Memory that running requests leave.
    fn room(&self) -> u64 {
        let used: u64 = self.running.iter().map(RunState::memory).sum();
        self.settings.memory_tokens.saturating_sub(used)
    }

    fn admit(&mut self) {
        while self.running.len() < self.settings.slots as usize {
            let fits = |run: &EngineRun| u64::from(run.prompt.tokens()) <= self.room();
            if !self.waiting.front().is_some_and(fits) {
                return;
            }
            let Some(run) = self.waiting.pop_front() else {
                return;
            };
            let kept = self.cache.take_kept(&run.prompt);
            // The last token is read anew: its result is the first generated one.
            let kept = kept.min(run.prompt.tokens().saturating_sub(1));
            self.read.1 += u64::from(kept);
            let unread = run.prompt.tokens() - kept;
            self.running.push(RunState {
                run,
                unread,
                made: 0,
                reads: 0,
                decodes: false,
            });
            self.cache.shrink(self.room());
        }
    }

    /// Puts the newest requests back while running ones outgrow the memory.
    fn preempt(&mut self) {
        loop {
            let used: u64 = self.running.iter().map(RunState::memory).sum();
            if used <= self.settings.memory_tokens || self.running.len() <= 1 {
                return;
            }
            if let Some(state) = self.running.pop() {
                // What it has made is read again with its prompt, and not sent again.
                let mut run = state.run;
                run.prompt.input += state.made;
                run.output -= state.made;
                self.waiting.push_front(run);
            }
        }
    }
}
