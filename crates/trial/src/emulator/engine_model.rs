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
    /// Length of the prompt, and its parts: the segments of its prefix that other prompts may share.
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

/// A simulated inference engine with continuous batching.
///
/// Requests are admitted in order of arrival. Each step prefills a chunk of the prompts and decodes
/// one token for each request whose prefill is done. Prefilled prompt parts stay in a prefix cache,
/// where later prompts with the same prefix find them. When memory runs out, the newest request is preempted.
#[derive(Debug, Clone)]
pub struct EngineModel {
    settings: EngineSettings,
    waiting: VecDeque<EngineRequest>,
    running: Vec<RunningRequest>,
    cache: PrefixCache,
    /// Number of prompt tokens that were prefilled, and number of prompt tokens that were found in the
    /// prefix cache and therefore not prefilled.
    prefilled_and_cached: (u64, u64),
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
    /// Returns the number of tokens that the KV cache holds for the request: prompt tokens that were
    /// prefilled or found in the prefix cache, and generated tokens.
    fn kv_tokens(&self) -> u64 {
        u64::from(self.request.prompt.tokens() - self.prefill_left) + u64::from(self.generated)
    }

    /// Returns the memory that the request occupies, in tokens: its whole prompt and the generated
    /// tokens. Unlike the prefix cache, this memory cannot be evicted.
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
            prefilled_and_cached: (0, 0),
        }
    }

    /// Appends a request to the queue of waiting requests.
    pub fn push(&mut self, request: EngineRequest) {
        self.waiting.push_back(request);
    }

    /// Removes a request whose caller has left, whether it waits or runs.
    pub fn cancel(&mut self, number: u64) {
        self.waiting.retain(|request| request.number != number);
        self.running
            .retain(|running_request| running_request.request.number != number);
    }

    /// Returns two numbers of prompt tokens so far: those that were prefilled, and those that were
    /// found in the prefix cache and therefore not prefilled.
    #[must_use]
    pub const fn prefilled_and_cached(&self) -> (u64, u64) {
        self.prefilled_and_cached
    }

    /// Begins a step and returns its duration, or `None` if no request can run.
    pub fn begin_step(&mut self) -> Option<Duration> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let mut chunk_left = self.settings.chunk_tokens;
        let mut attention_pairs = 0.0;
        for running_request in &mut self.running {
            running_request.decodes = running_request.prefill_left == 0;
            running_request.step_prefill = running_request.prefill_left.min(chunk_left);
            chunk_left -= running_request.step_prefill;
            // The mean number of tokens that a token of the chunk attends to.
            let mean_context =
                running_request.kv_tokens() as f64 + f64::from(running_request.step_prefill) / 2.0;
            attention_pairs += f64::from(running_request.step_prefill) * mean_context;
        }
        let prefilled = f64::from(self.settings.chunk_tokens - chunk_left);
        let kv_tokens: u64 = self.running.iter().map(RunningRequest::kv_tokens).sum();
        let settings = &self.settings;
        // The sum of a base time, a time per running request, a time per 1,000 tokens in the KV cache,
        // the prefill at a constant rate, and the attention of the prefilled tokens per million pairs of
        // tokens.
        let micros = settings.step_us
            + settings.step_us_per_request * self.running.len() as f64
            + settings.step_us_per_context_k * kv_tokens as f64 / 1e3
            + prefilled / settings.read_per_ms * 1e3
            + settings.read_us_per_pair_m * attention_pairs / 1e6;
        Some(Duration::from_secs_f64(micros / 1e6))
    }

    /// Ends the current step and returns the events that it emits.
    pub fn end_step(&mut self) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        let tokens_per_event = self.settings.tokens_per_event;
        let mut prefilled_prompts = Vec::new();
        for running_request in &mut self.running {
            self.prefilled_and_cached.0 += u64::from(running_request.step_prefill);
            running_request.prefill_left -= running_request.step_prefill;
            if running_request.step_prefill > 0 && running_request.prefill_left == 0 {
                prefilled_prompts.push(running_request.request.prompt.clone());
            }
            running_request.step_prefill = 0;
            if running_request.decodes {
                running_request.generated += 1;
                let number = running_request.request.number;
                if running_request.generated >= running_request.request.output {
                    events.push(EngineEvent::StreamEnd(number));
                } else if (running_request.generated - 1) % tokens_per_event == 0 {
                    // The first token is sent in an event of its own, as soon as it is generated.
                    events.push(EngineEvent::StreamEvent(number));
                }
            }
        }
        let (finished, running) =
            std::mem::take(&mut self.running)
                .into_iter()
                .partition(|running_request| {
                    running_request.generated >= running_request.request.output
                });
        self.running = running;
        for prompt in prefilled_prompts {
            self.cache.insert_prompt(&prompt, self.free_tokens());
        }
        for running_request in finished {
            self.cache
                .insert_prompt(&running_request.request.prompt, self.free_tokens());
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
            self.prefilled_and_cached.1 += u64::from(cached);
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

    /// Preempts the newest requests until the others fit in memory, and puts them back at the front of
    /// the queue.
    ///
    /// The oldest running request is never preempted, even if it alone exceeds the memory.
    fn preempt(&mut self) {
        loop {
            let used: u64 = self.running.iter().map(RunningRequest::memory).sum();
            if used <= self.settings.memory_tokens || self.running.len() <= 1 {
                return;
            }
            if let Some(running_request) = self.running.pop() {
                // The tokens generated so far become part of the prompt. When the request runs again,
                // they are prefilled, and no event is emitted for them.
                let mut request = running_request.request;
                request.prompt.input += running_request.generated;
                request.output -= running_request.generated;
                self.waiting.push_front(request);
            }
        }
    }
}
