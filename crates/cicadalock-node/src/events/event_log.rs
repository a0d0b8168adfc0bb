use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Map, Value, json};

/// Maximum number of queued lines; enough for a few seconds at [`MAX_LINES_PER_SECOND`].
const QUEUE_CAPACITY: usize = 4_096;

/// Maximum number of lines written per second; enough for five lines for each of 300 requests per
/// second.
const MAX_LINES_PER_SECOND: u64 = 1_500;

/// Time for which lines are collected into one write.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Queues log lines for the thread that writes them; never blocks.
#[derive(Debug, Clone)]
pub struct EventLog {
    queue: flume::Sender<Value>,
    dropped: Arc<AtomicU64>,
}

/// Handle of the thread that writes the queued lines; used to wait for its end.
#[derive(Debug)]
pub struct WriterHandle {
    thread: JoinHandle<()>,
}

impl EventLog {
    /// Starts the thread that writes to `out`; it ends when every clone of the log is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be created.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<(Self, WriterHandle)> {
        let (queue, lines) = flume::bounded(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let log = Self {
            queue,
            dropped: Arc::clone(&dropped),
        };
        let thread = std::thread::Builder::new()
            .name("events".into())
            .spawn(move || write_lines(out, &lines, &dropped))?;
        Ok((log, WriterHandle { thread }))
    }

    /// Queues one line with the event name `event` and the fields of the JSON object `fields`.
    ///
    /// If the queue is full, the line is dropped and counted.
    pub fn write(&self, event: &str, fields: Value) {
        let mut line = Map::new();
        line.insert("at".to_owned(), json!(unix_millis()));
        line.insert("event".to_owned(), json!(event));
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        if self.queue.try_send(Value::Object(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of lines dropped so far.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl WriterHandle {
    /// Waits until every clone of the [`EventLog`] is dropped and all queued lines are written.
    ///
    /// Blocks for as long as any clone is kept.
    pub fn join(self) {
        // If the thread panicked, there is nothing left to wait for.
        let _ = self.thread.join();
    }
}

fn write_lines(mut out: impl Write, lines: &flume::Receiver<Value>, dropped: &AtomicU64) {
    let (mut current_second, mut written_this_second, mut reported_drops) = (0, 0, 0);
    while let Ok(first) = lines.recv() {
        std::thread::sleep(BATCH_INTERVAL);
        let mut text = String::new();
        for line in std::iter::once(first).chain(lines.try_iter()) {
            let unix_second = unix_millis() / 1_000;
            if unix_second != current_second {
                (current_second, written_this_second) = (unix_second, 0);
            }
            if written_this_second >= MAX_LINES_PER_SECOND {
                dropped.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            written_this_second += 1;
            text.push_str(&line.to_string());
            text.push('\n');
        }
        let total = dropped.load(Ordering::Relaxed);
        if total > reported_drops {
            let line = json!({"at": unix_millis(), "event": "lines-dropped", "total": total});
            text.push_str(&line.to_string());
            text.push('\n');
            reported_drops = total;
        }
        // A failed write is ignored: this log is the only place where it could be reported.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    }
}

fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
