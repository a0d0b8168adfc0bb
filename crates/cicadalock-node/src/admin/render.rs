use std::fmt::Write;

use serde_json::Value;

/// Formats a status as text, with one line `path: value` per value.
///
/// Path segments are joined by `.`. An array without objects is one value.
#[must_use]
pub fn render_status(status: &Value) -> String {
    let mut text = String::new();
    render("", status, &mut text);
    text
}

fn render(path: &str, value: &Value, text: &mut String) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                render(&join(path, name), field, text);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            for (index, item) in items.iter().enumerate() {
                render(&join(path, &index.to_string()), item, text);
            }
        }
        Value::String(value) => {
            let _ = writeln!(text, "{path}: {value}");
        }
        value => {
            let _ = writeln!(text, "{path}: {value}");
        }
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}
