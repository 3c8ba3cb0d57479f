//! Numbers the classes of calls, across reloads of the settings.
//!
//! The decision module and the sockets identify the class of a call by its number, so a number is never reused for another
//! class: an unchanged class keeps its number, a new class or one with changed settings gets the next number, and a dropped
//! class keeps its number but accepts no new calls. Thus open calls keep the settings with which they started.

/// Maximum number of class numbers per process; a reload that would need more is rejected.
pub const MAX_CLASS_NUMBERS: usize = 256;

/// A numbered class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassEntry<T> {
    /// Name of the class.
    pub name: String,
    /// Its settings.
    pub settings: T,
    /// Whether it accepts new calls.
    pub open: bool,
}

/// The classes by number.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassTable<T> {
    entries: Vec<ClassEntry<T>>,
}

/// Error of a reload that would need more numbers than [`MAX_CLASS_NUMBERS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableFull;

impl std::fmt::Display for TableFull {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "more than {MAX_CLASS_NUMBERS} classes since the start; restart to apply these settings")
    }
}

impl<T: Clone + PartialEq> ClassTable<T> {
    /// Numbers the classes at the start of the process, in their order.
    pub fn new(classes: impl IntoIterator<Item = (String, T)>) -> Self {
        let entries = classes.into_iter().map(|(name, settings)| ClassEntry { name, settings, open: true });
        ClassTable { entries: entries.collect() }
    }

    /// Returns a table with the classes of new settings. Fails if they need too many numbers; this table is not changed.
    pub fn with_classes(
        &self,
        classes: impl IntoIterator<Item = (String, T)>,
    ) -> Result<ClassTable<T>, TableFull> {
        let mut entries = self.entries.clone();
        entries.iter_mut().for_each(|e| e.open = false);
        for (name, settings) in classes {
            let same = entries.iter().rposition(|e| e.name == name && e.settings == settings);
            match same {
                Some(at) => entries[at].open = true,
                None if entries.len() < MAX_CLASS_NUMBERS => {
                    entries.push(ClassEntry { name, settings, open: true })
                }
                None => return Err(TableFull),
            }
        }
        Ok(ClassTable { entries })
    }

    /// All classes by number, including dropped ones.
    pub fn entries(&self) -> &[ClassEntry<T>] {
        &self.entries
    }

    /// Number for new calls of the class with that name, if it accepts any.
    pub fn open(&self, name: &[u8]) -> Option<usize> {
        self.entries.iter().rposition(|e| e.open && e.name.as_bytes() == name)
    }

    /// How many numbers were added and how many were dropped since `before`, as one label for the log.
    pub fn changes(&self, before: &ClassTable<T>) -> String {
        let added = self.entries.len() - before.entries.len();
        let dropped = before.entries.iter().zip(&self.entries).filter(|(b, a)| b.open && !a.open).count();
        format!("classes-{added}-new-{dropped}-dropped")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn table(classes: &[(&str, u32)]) -> Vec<(String, u32)> {
        classes.iter().map(|(n, s)| (n.to_string(), *s)).collect()
    }

    #[test]
    fn unchanged_classes_keep_their_numbers_and_no_number_is_reused_for_other_settings() {
        let start = ClassTable::new(table(&[("meter-read", 1), ("valve-set", 2)]));
        assert_eq!(start.open(b"valve-set"), Some(1));
        // valve-set changes its settings, meter-read is dropped, valve-set-r2 is added.
        let next = start.with_classes(table(&[("valve-set", 3), ("valve-set-r2", 4)])).unwrap();
        assert_eq!(next.open(b"meter-read"), None, "dropped: no new calls");
        assert_eq!(next.open(b"valve-set"), Some(2), "changed: a new number");
        assert_eq!(next.open(b"valve-set-r2"), Some(3));
        // Open calls of the old numbers keep their settings.
        assert_eq!(next.entries()[0].settings, 1);
        assert_eq!(next.entries()[1].settings, 2);
        assert_eq!(next.changes(&start), "classes-2-new-2-dropped");
        // Back to the first settings: the old numbers accept calls again.
        let back = next.with_classes(table(&[("meter-read", 1), ("valve-set", 2)])).unwrap();
        assert_eq!(back.entries().len(), 4);
        assert_eq!((back.open(b"meter-read"), back.open(b"valve-set")), (Some(0), Some(1)));
    }

    #[test]
    fn settings_that_need_too_many_numbers_are_rejected_and_the_table_stays_unchanged() {
        let mut table = ClassTable::new([("c".to_string(), 0)]);
        for n in 1..MAX_CLASS_NUMBERS {
            table = table.with_classes([("c".to_string(), n)]).unwrap();
        }
        assert_eq!(table.entries().len(), MAX_CLASS_NUMBERS);
        assert_eq!(table.with_classes([("c".to_string(), MAX_CLASS_NUMBERS)]), Err(TableFull));
        assert_eq!(table.open(b"c"), Some(MAX_CLASS_NUMBERS - 1));
        assert!(table.with_classes([("c".to_string(), 3)]).is_ok(), "numbers that exist are reused");
    }
}
