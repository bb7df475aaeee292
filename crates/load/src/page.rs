//! The report as a page of HTML with charts.

use std::collections::BTreeMap;
use std::fmt::Display;

use plotters::prelude::*;

use crate::outcome::Outcome;
use crate::report::Report;
use crate::Error;

/// The size of a chart, in pixels.
const SIZE: (u32, u32) = (860, 360);

/// A line of a chart: its name and points.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// A chart: its words and lines.
struct Chart {
    title: &'static str,
    x: &'static str,
    y: &'static str,
    lines: Vec<Line>,
}

/// Returns the page.
pub(crate) fn render(report: &Report) -> Result<String, Error> {
    let charts = [latencies(report), outcomes(report), longest(report)];
    let drawn: Result<Vec<_>, _> = charts.iter().map(draw).collect();
    let drawn = drawn?.join("\n");
    let table = escape(&report.to_string());
    Ok(format!(
        "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <title>Load report</title>\n</head>\n<body>\n<h1>Load report</h1>\n\
         <pre>{table}</pre>\n{drawn}\n</body>\n</html>\n"
    ))
}

fn latencies(report: &Report) -> Chart {
    let line = |row: &crate::report::Row| Line {
        name: row.name.clone(),
        points: row.curve.clone(),
    };
    Chart {
        title: "Latency of complete answers",
        x: "share of calls, in nines (2 is 99 %)",
        y: "ms",
        lines: report.rows.iter().map(line).collect(),
    }
}

fn outcomes(report: &Report) -> Chart {
    let mut lines: BTreeMap<Outcome, Vec<(f64, f64)>> = BTreeMap::new();
    for outcome in Outcome::ALL.iter().filter(|o| report.count(**o) > 0) {
        let slices = report.slices.iter().enumerate();
        let points = slices.map(|(second, slice)| {
            let calls = slice.outcomes.get(outcome).copied().unwrap_or(0);
            (second as f64, calls as f64)
        });
        lines.insert(*outcome, points.collect());
    }
    let line = |(outcome, points): (Outcome, _)| Line {
        name: outcome.as_str().to_owned(),
        points,
    };
    Chart {
        title: "Calls by outcome",
        x: "second in which they were due",
        y: "calls",
        lines: lines.into_iter().map(line).collect(),
    }
}

fn longest(report: &Report) -> Chart {
    let slices = report.slices.iter().enumerate();
    let points = slices.map(|(second, slice)| (second as f64, slice.longest));
    let line = Line {
        name: "longest".to_owned(),
        points: points.collect(),
    };
    Chart {
        title: "Longest latency of a complete answer",
        x: "second in which they were due",
        y: "ms",
        lines: vec![line],
    }
}

/// Returns the chart as an SVG element.
fn draw(chart: &Chart) -> Result<String, Error> {
    let mut svg = String::new();
    plot(chart, &mut svg).map_err(|reason| Error::Chart {
        reason: reason.to_string(),
    })?;
    Ok(svg)
}

/// What may go wrong in the drawing library.
type Trouble<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

fn plot<'a>(chart: &Chart, svg: &'a mut String) -> Result<(), Trouble<'a>> {
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (x_most, y_most) = bounds(chart);
    let mut context = ChartBuilder::on(&area)
        .caption(chart.title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..x_most, 0.0..y_most)?;
    let mut mesh = context.configure_mesh();
    mesh.x_desc(chart.x).y_desc(chart.y).draw()?;
    for (index, line) in chart.lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let series = LineSeries::new(line.points.iter().copied(), &color);
        let drawn = context.draw_series(series)?;
        let mark = move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color);
        drawn.label(line.name.as_str()).legend(mark);
    }
    let mut labels = context.configure_series_labels();
    labels.background_style(WHITE.mix(0.8)).border_style(BLACK);
    labels.position(SeriesLabelPosition::UpperLeft).draw()?;
    area.present()
}

/// Returns the ends of the axes.
fn bounds(chart: &Chart) -> (f64, f64) {
    let points = chart.lines.iter().flat_map(|line| &line.points);
    let most = |(x, y): (f64, f64), point: &(f64, f64)| (x.max(point.0), y.max(point.1));
    let (x, y) = points.fold((0.0, 0.0), most);
    (x.max(1.0), (y * 1.1).max(1.0))
}

fn escape<T>(text: &T) -> String
where
    T: Display + ?Sized,
{
    let text = text.to_string().replace('&', "&amp;");
    text.replace('<', "&lt;").replace('>', "&gt;")
}
