use super::Finding;
use super::raw::{LIMITS, LISTS, RawConfig, RawItem};

/// Applies `overlay` to `base`: fields of an entry with the same name are replaced, other entries
/// are appended. An overlay entry or field that changes nothing is a finding.
pub(super) fn merge(base: RawConfig, overlay: RawConfig, findings: &mut Vec<Finding>) -> RawConfig {
    let mut merged = base;
    if let Some(limits) = overlay.limits {
        match &mut merged.limits {
            Some(target) => merge_item(target, limits, LIMITS, findings),
            None => merged.limits = Some(limits),
        }
    }
    for (index, entries) in overlay.lists.into_iter().enumerate() {
        for entry in entries {
            merge_entry(&mut merged.lists[index], entry, LISTS[index], findings);
        }
    }
    merged
}

fn merge_entry(
    list: &mut Vec<RawItem>,
    entry: RawItem,
    section: &str,
    findings: &mut Vec<Finding>,
) {
    let target = list
        .iter_mut()
        .find(|item| item.name().is_some() && item.name() == entry.name());
    let Some(target) = target else {
        list.push(entry);
        return;
    };
    let path = format!("{section}.{}", entry.name().unwrap_or_default());
    if entry.fields.len() == 1 {
        findings.push(Finding::new(
            &entry.place,
            path,
            "the overlay entry sets no field besides its name",
        ));
        return;
    }
    merge_item(target, entry, &path, findings);
}

fn merge_item(target: &mut RawItem, changes: RawItem, path: &str, findings: &mut Vec<Finding>) {
    for field in changes.fields {
        let current = target
            .fields
            .iter_mut()
            .find(|existing| existing.key == field.key);
        let Some(current) = current else {
            target.fields.push(field);
            continue;
        };
        if current.value != field.value {
            *current = field;
        } else if field.key != "name" {
            let key = format!("{path}.{}", field.key);
            findings.push(Finding::new(
                &field.place,
                key,
                "has the same value as in the base",
            ));
        }
    }
}
