//! Plots of runs, as SVG.

use std::collections::BTreeMap;
use std::path::Path;

use eyre::{Result, eyre};
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    WHITE,
};

use crate::experiment::PolicyRuns;
use crate::tally::SecondResult;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (900, 480);

/// A line of a plot.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Draws the fraction of the requests answered in time by tier, over the time of their arrival.
pub fn in_time(runs: &PolicyRuns, path: &Path) -> Result<()> {
    let lines = by_tier(runs, |seconds| {
        let asked: u64 = seconds.iter().map(|second| second.asked).sum();
        let in_time: u64 = seconds.iter().map(|second| second.in_time).sum();
        in_time as f64 / asked.max(1) as f64
    });
    let title = format!("{}: answered in time", runs.policy.as_str());
    draw(&title, ["seconds", "fraction of the requests"], &lines, path)
}

/// Draws the mean time to the first event by tier, over the time of arrival.
pub fn first_event(runs: &PolicyRuns, path: &Path) -> Result<()> {
    let lines = by_tier(runs, |seconds| {
        let sum: f64 = seconds.iter().map(|second| second.first_ms).sum();
        sum / seconds.len().max(1) as f64
    });
    let title = format!("{}: time to the first event", runs.policy.as_str());
    draw(&title, ["seconds", "ms"], &lines, path)
}

/// Draws the mean value of each policy against the load.
pub fn value_by_load(loads: &[(f64, Vec<PolicyRuns>)], path: &Path) -> Result<()> {
    let mut lines: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for (load, runs) in loads {
        for run in runs {
            let sum: f64 = run.results.iter().map(|results| results.value).sum();
            let mean = sum / run.results.len().max(1) as f64;
            lines.entry(run.policy.as_str()).or_default().push((*load, mean));
        }
    }
    let lines = lines.into_iter().map(|(name, points)| Line { name: name.to_owned(), points });
    let lines: Vec<Line> = lines.collect();
    draw("value", ["load factor", "fraction of the worth"], &lines, path)
}

fn by_tier(runs: &PolicyRuns, metric: impl Fn(&[&SecondResult]) -> f64) -> Vec<Line> {
    let mut groups: BTreeMap<(u8, usize), Vec<&SecondResult>> = BTreeMap::new();
    for second in runs.results.iter().flat_map(|results| &results.seconds) {
        groups.entry((second.tier, second.second)).or_default().push(second);
    }
    let mut lines: BTreeMap<u8, Vec<(f64, f64)>> = BTreeMap::new();
    for ((tier, second), results) in &groups {
        lines.entry(*tier).or_default().push((*second as f64, metric(results)));
    }
    let lines = lines.into_iter();
    lines.map(|(tier, points)| Line { name: format!("tier {tier}"), points }).collect()
}

fn draw(title: &str, axes: [&str; 2], lines: &[Line], path: &Path) -> Result<()> {
    let failed = |error: &dyn std::fmt::Display| eyre!("{}: {error}", path.display());
    let points = || lines.iter().flat_map(|line| &line.points);
    let right = points().map(|point| point.0).fold(1e-9, f64::max);
    let top = points().map(|point| point.1).fold(1e-9, f64::max) * 1.05;
    let left = points().map(|point| point.0).fold(right, f64::min);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(left..right, 0.0..top)
        .map_err(|error| failed(&error))?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc(axes[0]).y_desc(axes[1]).draw().map_err(|error| failed(&error))?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).mix(1.0);
        let series = LineSeries::new(line.points.iter().copied(), color.stroke_width(2));
        let drawn = chart.draw_series(series).map_err(|error| failed(&error))?;
        let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color);
        drawn.label(&line.name).legend(legend);
    }
    let mut labels = chart.configure_series_labels();
    labels.border_style(plotters::style::BLACK).background_style(WHITE.mix(0.8));
    labels.draw().map_err(|error| failed(&error))?;
    area.present().map_err(|error| failed(&error))
}
