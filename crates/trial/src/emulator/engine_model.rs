use std::collections::VecDeque;
use std::time::Duration;

use cicadalock_core::serving::PromptShape;

use super::load_file::EngineSettings;
use super::prefix_cache::PrefixCache;

/// A request submitted to an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRequest {
    /// Identifies the request at the engine and in its events.
    pub number: u64,
    /// Length and parts of the prompt.
    pub prompt: PromptShape,
    /// Number of tokens that the engine generates for the request.
    pub output: u32,
}

/// An event that an engine emits at the end of a step; the value is [`EngineRequest::number`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// An event of the request's response stream, except the last one.
    StreamEvent(u64),
    /// The last event of the request's response stream.
    StreamEnd(u64),
}

/// A model engine with continuous batching.
///
/// Requests are admitted in order of arrival. Each step prefills a chunk of the prompts and decodes
/// one token for each request whose prefill is done. Prompt parts of finished requests stay in a
/// prefix cache. When memory runs out, the newest request is preempted.
#[derive(Debug, Clone)]
pub struct EngineModel {
    settings: EngineSettings,
    waiting: VecDeque<EngineRequest>,
    running: Vec<RunningRequest>,
    cache: PrefixCache,
    /// Prompt tokens prefilled, and taken from the prefix cache.
    prompt_tokens: (u64, u64),
}

#[derive(Debug, Clone)]
struct RunningRequest {
    request: EngineRequest,
    /// Prompt tokens that are not yet prefilled.
    prefill_left: u32,
    generated: u32,
    /// Prompt tokens that the current step prefills.
    step_prefill: u32,
    /// Whether the current step generates a token for the request.
    decodes: bool,
}

impl RunningRequest {
    /// Returns the number of tokens whose keys and values are computed.
    fn context(&self) -> u64 {
        u64::from(self.request.prompt.tokens() - self.prefill_left) + u64::from(self.generated)
    }

    /// Returns the memory of the whole prompt and the generated tokens, in tokens. It cannot be
    /// evicted.
    fn memory(&self) -> u64 {
        u64::from(self.request.prompt.tokens()) + u64::from(self.generated)
    }
}

impl EngineModel {
    /// Creates an engine without requests and with an empty prefix cache.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            settings,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: PrefixCache::default(),
            prompt_tokens: (0, 0),
        }
    }

    /// Appends a request to the queue of waiting requests.
    pub fn push(&mut self, request: EngineRequest) {
        self.waiting.push_back(request);
    }

    /// Removes a request whose caller has left, whether it waits or runs.
    pub fn cancel(&mut self, number: u64) {
        self.waiting.retain(|request| request.number != number);
        self.running.retain(|state| state.request.number != number);
    }

    /// Returns the numbers of prompt tokens prefilled, and taken from the prefix cache, so far.
    #[must_use]
    pub const fn prefilled_and_cached(&self) -> (u64, u64) {
        self.prompt_tokens
    }

    /// Begins a step and returns its duration, or `None` if no request can run.
    pub fn begin_step(&mut self) -> Option<Duration> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let mut chunk_left = self.settings.chunk_tokens;
        let mut attention_pairs = 0.0;
        for state in &mut self.running {
            state.decodes = state.prefill_left == 0;
            state.step_prefill = state.prefill_left.min(chunk_left);
            chunk_left -= state.step_prefill;
            let context = state.context() as f64 + f64::from(state.step_prefill) / 2.0;
            attention_pairs += f64::from(state.step_prefill) * context;
        }
        let prefilled = f64::from(self.settings.chunk_tokens - chunk_left);
        let context: u64 = self.running.iter().map(RunningRequest::context).sum();
        let settings = &self.settings;
        let micros = settings.step_us
            + settings.step_us_per_request * self.running.len() as f64
            + settings.step_us_per_context_k * context as f64 / 1e3
            + prefilled / settings.read_per_ms * 1e3
            + settings.read_us_per_pair_m * attention_pairs / 1e6;
        Some(Duration::from_secs_f64(micros / 1e6))
    }

    /// Ends the current step and returns the events that it emits.
    pub fn end_step(&mut self) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        let tokens_per_event = self.settings.tokens_per_event;
        for state in &mut self.running {
            self.prompt_tokens.0 += u64::from(state.step_prefill);
            state.prefill_left -= state.step_prefill;
            state.step_prefill = 0;
            if state.decodes {
                state.generated += 1;
                let number = state.request.number;
                if state.generated >= state.request.output {
                    events.push(EngineEvent::StreamEnd(number));
                } else if (state.generated - 1) % tokens_per_event == 0 {
                    // The first token is sent in an event of its own, as soon as it is generated.
                    events.push(EngineEvent::StreamEvent(number));
                }
            }
        }
        let (finished, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|state| state.generated >= state.request.output);
        self.running = running;
        for state in finished {
            self.cache
                .insert_prompt(&state.request.prompt, self.free_tokens());
        }
        self.preempt();
        events
    }

    /// Returns the memory that running requests leave free, in tokens.
    fn free_tokens(&self) -> u64 {
        let used: u64 = self.running.iter().map(RunningRequest::memory).sum();
        self.settings.memory_tokens.saturating_sub(used)
    }

    fn admit(&mut self) {
        while self.running.len() < self.settings.slots as usize {
            let fits =
                |request: &EngineRequest| u64::from(request.prompt.tokens()) <= self.free_tokens();
            if !self.waiting.front().is_some_and(fits) {
                return;
            }
            let Some(request) = self.waiting.pop_front() else {
                return;
            };
            let cached = self.cache.match_prefix(&request.prompt);
            // The last prompt token is always computed, because its result is the first generated
            // token.
            let cached = cached.min(request.prompt.tokens().saturating_sub(1));
            self.prompt_tokens.1 += u64::from(cached);
            let prefill_left = request.prompt.tokens() - cached;
            self.running.push(RunningRequest {
                request,
                prefill_left,
                generated: 0,
                step_prefill: 0,
                decodes: false,
            });
            self.cache.evict_to(self.free_tokens());
        }
    }

    /// Returns the newest requests to the front of the queue while running requests exceed the
    /// memory.
    ///
    /// One request always keeps running, even if it exceeds the memory alone.
    fn preempt(&mut self) {
        loop {
            let used: u64 = self.running.iter().map(RunningRequest::memory).sum();
            if used <= self.settings.memory_tokens || self.running.len() <= 1 {
                return;
            }
            if let Some(state) = self.running.pop() {
                // Tokens generated so far become part of the prompt: they are prefilled again, but
                // not sent again.
                let mut request = state.request;
                request.prompt.input += state.generated;
                request.output -= state.generated;
                self.waiting.push_front(request);
            }
        }
    }
}
