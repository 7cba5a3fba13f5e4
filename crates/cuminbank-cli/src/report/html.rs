//! The report as a self-contained HTML page.

use html_escape::encode_text;

use super::{
    plots::{latency_plot, rate_plot, PlotError},
    text::{sections, summary_lines, tables, ReportTable},
    DayReport,
};

const STYLE: &str = "body{font-family:sans-serif;margin:2em;max-width:64em}\
    h1{font-size:1.4em}h2{font-size:1.1em}.failed{color:#a02010}.well{color:#206020}\
    table{border-collapse:collapse}td,th{padding:.2em .7em;border-bottom:1px solid #ccc;\
    text-align:right}td:nth-child(-n+2),th:nth-child(-n+2){text-align:left}\
    figure{display:inline-block;margin:.5em}";

/// Returns the report as an HTML page, or the error of a plot.
pub fn to_html(report: &DayReport) -> Result<String, PlotError> {
    let verdict = if report.faults.is_empty() { "well" } else { "failed" };
    let mut page = format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>cuminbank {day}</title><style>{STYLE}</style></head><body>\n\
         <h1 class=\"{verdict}\">{headline}</h1>\n",
        day = encode_text(&report.day),
        headline = encode_text(&report.headline()),
    );
    for line in summary_lines(report) {
        page.push_str(&format!("<p>{}</p>\n", encode_text(&line)));
    }
    page.push_str(&figures(report)?);
    for table in tables(report) {
        push_table(&mut page, &table);
    }
    for (title, lines) in sections(report) {
        let items = lines.iter().map(|line| format!("<li>{}</li>\n", encode_text(line)));
        let items: String = items.collect();
        page.push_str(&format!("<h2>{title}</h2>\n<ul>\n{items}</ul>\n"));
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn figures(report: &DayReport) -> Result<String, PlotError> {
    let mut figures = String::new();
    if !report.rate.is_empty() {
        let plot = rate_plot(report)?;
        figures.push_str(&figure("Calls per minute; peak minutes are orange", &plot));
    }
    for (key, calls) in &report.calls {
        if calls.latency.count() == 0 {
            continue;
        }
        let caption = format!("{} for {}: latency of done calls", key.profile, key.customer);
        figures.push_str(&figure(&caption, &latency_plot(&calls.latency)?));
    }
    Ok(figures)
}

fn figure(caption: &str, plot: &str) -> String {
    format!("<figure><figcaption>{}</figcaption>\n{plot}</figure>\n", encode_text(caption))
}

fn push_table(page: &mut String, table: &ReportTable) {
    let header: String =
        table.header.iter().map(|name| format!("<th>{}</th>", encode_text(name))).collect();
    page.push_str(&format!("<h2>{}</h2>\n<table><tr>{header}</tr>\n", encode_text(table.title)));
    for row in &table.rows {
        let cells: String =
            row.iter().map(|cell| format!("<td>{}</td>", encode_text(cell))).collect();
        page.push_str(&format!("<tr>{cells}</tr>\n"));
    }
    page.push_str("</table>\n");
}
