//! Cold servers under the sum of all fronts: what 1 to 300 of them send in the time in which a server falls, against what
//! the settings allow then, in every seed; and how much of a cold server is used and of the calls served beside it.

use std::error::Error;
use std::path::Path;
use std::thread;

use hollypaddle_drive::cold::{play, Case, Figures, Shown, KINDS};
use minijinja::{context, Environment};
use serde::Serialize;

const SIZES: [usize; 5] = [1, 8, 20, 30, 300];
/// Seeds of each case for one run that is asked for.
const SEEDS: u64 = 40;
/// Of what a cold server could do, so much is used at the least, in the median run: a ramp that sends nothing passes nothing.
const LEAST_USED: f64 = 0.2;

#[derive(Serialize)]
pub(crate) struct Line {
    pub(crate) kind: &'static str,
    pub(crate) case: String,
    pub(crate) fronts: usize,
    /// Most beyond what is allowed, in roots of it: median, nineteen of twenty, all.
    pub(crate) median: f64,
    pub(crate) p95: f64,
    pub(crate) most: f64,
    /// Runs in which a server falls, and in which the rule is broken.
    pub(crate) falls: usize,
    pub(crate) broken: usize,
    pub(crate) used: f64,
    pub(crate) served: f64,
}

fn at(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values[((values.len() - 1) as f64 * part).round() as usize]
}

/// Plays so many seeds of one case.
pub(crate) fn line(kind: (&'static str, f64, f64, f64, f64), case: Case, fronts: usize, seeds: u64) -> Line {
    let figures = Figures::of(kind, fronts);
    let workers = thread::available_parallelism().map_or(1, usize::from) as u64;
    let shown: Vec<Shown> = thread::scope(|scope| {
        let part =
            |w: u64| move || (w..seeds).step_by(workers as usize).map(|s| play(figures, case, s)).collect();
        let all: Vec<_> = (0..workers).map(|w| scope.spawn::<_, Vec<Shown>>(part(w))).collect();
        all.into_iter().flat_map(|w| w.join().unwrap_or_default()).collect()
    });
    let of = |f: fn(&Shown) -> f64| shown.iter().map(f).collect::<Vec<f64>>();
    let mut roots = of(|s| s.most_roots);
    Line {
        kind: kind.0,
        case: format!("{case:?}").to_lowercase(),
        fronts,
        median: at(&mut roots, 0.5),
        p95: at(&mut roots, 0.95),
        most: at(&mut roots, 1.0),
        falls: shown.iter().filter(|s| s.beyond > 0.0).count(),
        broken: shown.iter().filter(|s| s.broken).count(),
        used: at(&mut of(|s| s.used), 0.5),
        served: at(&mut of(|s| s.served), 0.5),
    }
}

const PAGE: &str = r#"# Cold servers under the sum of all fronts

Written by `hollypaddle-measure cold --runs {{ runs }}`: {{ seeds }} seeds of every line, decision modules alone in skipped time,
callers that redial twice, four servers at 88% of what they can do. What all fronts send to a cold server in any window of the
time in which it falls is compared with what the settings allow at the window's start, N. The figures are in roots of N beyond
N: up to 2 and two calls more are put down to chance. Below 0 it stays under N. `falls` counts the runs with a window beyond
N + 2 x root of N + 2, `broken` those in which over two thirds of it came from fronts that had been told of the start.
`used` is what the cold servers were sent until warm, as a part of what they could do; `served` the calls that stood within
their goal time, of all since the start. Both are medians.

| deployment | case | fronts | median | 95% | most | falls | broken | used | served |
| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |
{% for l in lines -%}
| {{ l.kind }} | {{ l.case }} | {{ l.fronts }} | {{ l.median|round(2) }} | {{ l.p95|round(2) }} | {{ l.most|round(2) }} | {{ l.falls }} | {{ l.broken }} | {{ l.used|round(2) }} | {{ l.served|round(3) }} |
{% endfor %}
In `untold` no front is told, and in `some` half are: what those send that were not told cannot be held back for a start that
they do not know of, so that a server may fall there, and no rule is broken.
"#;

/// Measures, writes the page, and returns what does not hold.
pub fn measure(runs: u64, out: &Path) -> Result<Vec<String>, Box<dyn Error>> {
    let seeds = runs * SEEDS;
    let mut lines = Vec::new();
    for kind in KINDS {
        for case in Case::ALL {
            for fronts in SIZES {
                let line = line(kind, case, fronts, seeds);
                eprintln!(
                    "{} {} {fronts}: {:.2} {:.2} {:.2}, falls {}, broken {}, used {:.2}, served {:.3}",
                    line.kind,
                    line.case,
                    line.median,
                    line.p95,
                    line.most,
                    line.falls,
                    line.broken,
                    line.used,
                    line.served
                );
                lines.push(line);
            }
        }
    }
    let mut failures = Vec::new();
    for l in &lines {
        let told = !matches!(l.case.as_str(), "untold" | "some" | "late");
        if l.broken > 0 || told && l.falls > 0 {
            failures
                .push(format!("{} {} {}: {} falls, {} broken", l.kind, l.case, l.fronts, l.falls, l.broken));
        }
        if l.used < LEAST_USED && l.case != "new" {
            failures.push(format!("{} {} {}: used {:.2}", l.kind, l.case, l.fronts, l.used));
        }
    }
    let mut pages = Environment::new();
    pages.add_template("cold", PAGE)?;
    let page = pages.get_template("cold")?.render(context! { lines, runs, seeds })?;
    std::fs::create_dir_all(out)?;
    std::fs::write(out.join("cold.md"), page.trim_end().to_string() + "\n")?;
    Ok(failures)
}
