//! The table of classes across reloads. The decision module and the sockets know a call's class by its
//! number, so a number is never given to another class: a class that stays keeps its number, a new one or
//! one whose settings changed gets the next, and a dropped one keeps its number but takes no new calls.
//! Open calls so keep the rules they came with.

/// Numbers at most; a reload that would need more is turned down.
pub const MAX_CLASS_NUMBERS: usize = 256;

/// One number of the table.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassEntry<T> {
    /// The class's name.
    pub name: String,
    /// Its settings.
    pub settings: T,
    /// Whether new calls may take it.
    pub open: bool,
}

/// Classes by number.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassTable<T> {
    entries: Vec<ClassEntry<T>>,
}

/// A reload that would need more numbers than [`MAX_CLASS_NUMBERS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableFull;

impl std::fmt::Display for TableFull {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "more than {MAX_CLASS_NUMBERS} classes since the start; restart to take these settings")
    }
}

impl<T: Clone + PartialEq> ClassTable<T> {
    /// The classes of the start, numbered in their order.
    pub fn new(classes: impl IntoIterator<Item = (String, T)>) -> Self {
        let entries = classes.into_iter().map(|(name, settings)| ClassEntry { name, settings, open: true });
        ClassTable { entries: entries.collect() }
    }

    /// The table with the classes of new settings; this one is left as it is where they do not fit.
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

    /// All numbers, the dropped ones too.
    pub fn entries(&self) -> &[ClassEntry<T>] {
        &self.entries
    }

    /// The number that new calls of a name take.
    pub fn open(&self, name: &[u8]) -> Option<usize> {
        self.entries.iter().rposition(|e| e.open && e.name.as_bytes() == name)
    }

    /// Names that new calls may take, and those no longer taken, as a word for the log.
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
    fn numbers_are_kept_and_never_given_twice() {
        let start = ClassTable::new(table(&[("meter-read", 1), ("valve-set", 2)]));
        assert_eq!(start.open(b"valve-set"), Some(1));
        // valve-set changes its effect, meter-read is dropped, valve-set-r2 comes.
        let next = start.with_classes(table(&[("valve-set", 3), ("valve-set-r2", 4)])).unwrap();
        assert_eq!(next.open(b"meter-read"), None, "dropped: no new calls");
        assert_eq!(next.open(b"valve-set"), Some(2), "changed: a new number");
        assert_eq!(next.open(b"valve-set-r2"), Some(3));
        // Open calls of the old numbers keep their settings.
        assert_eq!(next.entries()[0].settings, 1);
        assert_eq!(next.entries()[1].settings, 2);
        assert_eq!(next.changes(&start), "classes-2-new-2-dropped");
        // Back to the first settings: the old numbers open again.
        let back = next.with_classes(table(&[("meter-read", 1), ("valve-set", 2)])).unwrap();
        assert_eq!(back.entries().len(), 4);
        assert_eq!((back.open(b"meter-read"), back.open(b"valve-set")), (Some(0), Some(1)));
    }

    #[test]
    fn a_table_that_would_grow_past_its_bound_is_refused_and_the_old_stays() {
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
