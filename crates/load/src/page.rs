//! Renders the report as an HTML page with charts.

use std::collections::BTreeMap;
use std::fmt::Display;

use plotters::prelude::*;

use crate::outcome::Outcome;
use crate::report::Report;
use crate::Error;

/// Width and height of a chart.
const CHART_SIZE_PX: (u32, u32) = (860, 360);

/// A named series of points in a chart.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// A line chart.
struct Chart {
    title: &'static str,
    x_label: &'static str,
    y_label: &'static str,
    lines: Vec<Line>,
}

/// Returns the report as an HTML page.
pub(crate) fn render(report: &Report) -> Result<String, Error> {
    let charts = [
        latency_chart(report),
        outcome_chart(report),
        max_latency_chart(report),
    ];
    let svgs: Result<Vec<_>, _> = charts.iter().map(render_svg).collect();
    let svgs = svgs?.join("\n");
    let table = escape_html(&report.to_string());
    Ok(format!(
        "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <title>Load report</title>\n</head>\n<body>\n<h1>Load report</h1>\n\
         <pre>{table}</pre>\n{svgs}\n</body>\n</html>\n"
    ))
}

fn latency_chart(report: &Report) -> Chart {
    let line = |row: &crate::report::Row| Line {
        name: row.name.clone(),
        points: row.curve.clone(),
    };
    Chart {
        title: "Latency of complete answers",
        x_label: "share of calls, in nines (2 is 99 %)",
        y_label: "ms",
        lines: report.rows.iter().map(line).collect(),
    }
}

fn outcome_chart(report: &Report) -> Chart {
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
        x_label: "second in which they were due",
        y_label: "calls",
        lines: lines.into_iter().map(line).collect(),
    }
}

fn max_latency_chart(report: &Report) -> Chart {
    let slices = report.slices.iter().enumerate();
    let points = slices.map(|(second, slice)| (second as f64, slice.longest));
    let line = Line {
        name: "longest".to_owned(),
        points: points.collect(),
    };
    Chart {
        title: "Longest latency of a complete answer",
        x_label: "second in which they were due",
        y_label: "ms",
        lines: vec![line],
    }
}

/// Returns the chart as an SVG element.
fn render_svg(chart: &Chart) -> Result<String, Error> {
    let mut svg = String::new();
    draw(chart, &mut svg).map_err(|reason| Error::Chart {
        reason: reason.to_string(),
    })?;
    Ok(svg)
}

/// Error of the drawing library.
type DrawError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

fn draw<'a>(chart: &Chart, svg: &'a mut String) -> Result<(), DrawError<'a>> {
    let area = SVGBackend::with_string(svg, CHART_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let (x_max, y_max) = axis_limits(chart);
    let mut context = ChartBuilder::on(&area)
        .caption(chart.title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
    let mut mesh = context.configure_mesh();
    mesh.x_desc(chart.x_label).y_desc(chart.y_label).draw()?;
    for (index, line) in chart.lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let series = LineSeries::new(line.points.iter().copied(), &color);
        let drawn = context.draw_series(series)?;
        let legend_line = move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color);
        drawn.label(line.name.as_str()).legend(legend_line);
    }
    let mut labels = context.configure_series_labels();
    labels.background_style(WHITE.mix(0.8)).border_style(BLACK);
    labels.position(SeriesLabelPosition::UpperLeft).draw()?;
    area.present()
}

/// Returns the upper ends of the x and y axes.
fn axis_limits(chart: &Chart) -> (f64, f64) {
    let points = chart.lines.iter().flat_map(|line| &line.points);
    let max = |(x, y): (f64, f64), point: &(f64, f64)| (x.max(point.0), y.max(point.1));
    let (x, y) = points.fold((0.0, 0.0), max);
    (x.max(1.0), (y * 1.1).max(1.0))
}

fn escape_html<T>(text: &T) -> String
where
    T: Display + ?Sized,
{
    let text = text.to_string().replace('&', "&amp;");
    text.replace('<', "&lt;").replace('>', "&gt;")
}
