//! Service-level burn as one static page with plots, without scripts.

use crate::burn::{Report, Row, Series, Spending, number, percent};

/// Width of a plot in pixels.
const WIDTH: f64 = 600.0;

/// Height of a plot in pixels.
const HEIGHT: f64 = 120.0;

/// Minutes across a plot.
const MINUTES: u64 = 60;

/// Customers on the page; the JSON report has all.
const CUSTOMERS: usize = 50;

const STYLE: &str = "body{font:14px sans-serif;margin:2em;max-width:70em}\
table{border-collapse:collapse;margin-bottom:2em}td,th{padding:.2em .7em;text-align:right}\
td:first-child,th:first-child,td.name{text-align:left}tr:nth-child(even){background:#f3f3f3}\
.hot{color:#b00020;font-weight:bold}svg{background:#fafafa;border:1px solid #ccc}";

/// Renders a report.
pub fn render(report: &Report) -> String {
    let mut out = String::from("<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n");
    out.push_str("<meta charset=\"utf-8\">\n<title>Service-level burn</title>\n");
    out.push_str(&format!("<style>{STYLE}</style>\n</head>\n<body>\n"));
    out.push_str("<h1>Service-level burn</h1>\n");
    out.push_str(&format!("<p>Until {} ms since the Unix epoch.</p>\n", report.until_ms));
    if report.unreadable > 0 {
        out.push_str(&format!(
            "<p class=\"hot\">{} records could not be read.</p>\n",
            report.unreadable
        ));
    }
    out.push_str("<h2>Classes</h2>\n");
    out.push_str(&rows(&report.classes));
    for series in &report.series {
        let row = report.classes.iter().find(|it| it.class == series.class);
        out.push_str(&plot(series, row.and_then(|it| it.objective_per_mille)));
    }
    out.push_str("<h2>Customers, the worst served first</h2>\n");
    out.push_str(&bars(&report.customers));
    out.push_str(&rows(&report.customers[..report.customers.len().min(CUSTOMERS)]));
    out.push_str("<h2>Cost against service</h2>\n");
    out.push_str(&spending(&report.spending));
    out.push_str("<h2>Refused and failed in 24 hours</h2>\n");
    out.push_str(&refused(report));
    out.push_str("</body>\n</html>\n");
    out
}

fn escaped(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for it in text.chars() {
        match it {
            '&' => out.push_str("&amp;"),
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '"' => out.push_str("&quot;"),
            _ => out.push(it),
        }
    }
    out
}

fn head(names: &[&str]) -> String {
    let cells: String = names.iter().map(|it| format!("<th>{it}</th>")).collect();
    format!("<table>\n<tr>{cells}</tr>\n")
}

fn rows(rows: &[Row]) -> String {
    let mut out = head(&[
        "class",
        "customer",
        "objective",
        "attained 1 h",
        "burn 5 min",
        "burn 1 h",
        "burn 6 h",
        "budget spent",
        "requests",
        "late",
        "missed",
        "on cheap",
    ]);
    for row in rows {
        let longest = &row.windows[row.windows.len() - 1];
        let objective = row.objective_per_mille.map(|it| f64::from(it) / 1e3);
        let customer = row.customer.as_deref().unwrap_or("(all)");
        out.push_str(&format!(
            "<tr><td>{}</td><td class=\"name\">{}</td><td>{}</td><td>{}</td>",
            escaped(&row.class),
            escaped(customer),
            percent(objective),
            percent(row.windows[1].attainment)
        ));
        for figures in &row.windows[..3] {
            let hot = if figures.burn.is_some_and(|it| it > 1.0) { " class=\"hot\"" } else { "" };
            out.push_str(&format!("<td{hot}>{}</td>", number(figures.burn)));
        }
        out.push_str(&format!(
            "<td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>\n",
            percent(row.budget_spent),
            longest.requests,
            longest.late,
            longest.missed,
            percent(longest.cheap)
        ));
    }
    out.push_str("</table>\n");
    out
}

/// Share of missed requests by minute, with the budget as a line.
fn plot(series: &Series, objective: Option<u32>) -> String {
    let Some(last) = series.points.last().map(|it| it.minute) else { return String::new() };
    let first = last.saturating_sub(MINUTES - 1);
    let budget = objective.map(|it| 1.0 - f64::from(it) / 1e3);
    let share = |it: &crate::burn::Point| it.missed as f64 / it.counted.max(1) as f64;
    let worst = series.points.iter().map(share).fold(budget.unwrap_or(0.0) * 2.0, f64::max);
    let top = worst.clamp(0.01, 1.0);
    let height = |share: f64| HEIGHT - (share / top).min(1.0) * HEIGHT;
    let width = WIDTH / MINUTES as f64;
    let mut out = format!(
        "<p>{}: missed requests by minute, up to {}; the line is the budget</p>\n\
         <svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" width=\"{WIDTH}\" height=\"{HEIGHT}\" role=\"img\">\n",
        escaped(&series.class),
        percent(Some(top))
    );
    for point in series.points.iter().filter(|it| it.minute >= first) {
        let (x, y) = ((point.minute - first) as f64 * width, height(share(point)));
        let color = if budget.is_some_and(|it| share(point) > it) { "#b00020" } else { "#2e7d32" };
        out.push_str(&format!(
            "<rect x=\"{x:.1}\" y=\"{y:.1}\" width=\"{:.1}\" height=\"{:.1}\" fill=\"{color}\"/>\n",
            width - 1.0,
            (HEIGHT - y).max(1.0)
        ));
    }
    if let Some(budget) = budget {
        let y = height(budget);
        out.push_str(&format!(
            "<line x1=\"0\" y1=\"{y:.1}\" x2=\"{WIDTH}\" y2=\"{y:.1}\" stroke=\"#555\"/>\n"
        ));
    }
    out.push_str("</svg>\n");
    out
}

/// Attainment of the customers that are served worst.
fn bars(customers: &[Row]) -> String {
    const BARS: usize = 10;
    const ROW: f64 = 18.0;
    let shown: Vec<_> = customers
        .iter()
        .filter_map(|it| Some((it, it.windows[1].attainment?)))
        .take(BARS)
        .collect();
    let height = ROW * shown.len() as f64;
    let mut out = format!(
        "<svg viewBox=\"0 0 {WIDTH} {height}\" width=\"{WIDTH}\" height=\"{height}\" role=\"img\">\n"
    );
    for (index, (row, attainment)) in shown.iter().enumerate() {
        let y = index as f64 * ROW;
        let label = format!(
            "{} / {}: {}",
            row.class,
            row.customer.as_deref().unwrap_or_default(),
            percent(Some(*attainment))
        );
        out.push_str(&format!(
            "<rect x=\"0\" y=\"{y}\" width=\"{:.1}\" height=\"{}\" fill=\"#90caf9\"/>\n\
             <text x=\"4\" y=\"{}\" font-size=\"12\">{}</text>\n",
            attainment * WIDTH,
            ROW - 2.0,
            y + ROW - 5.0,
            escaped(&label)
        ));
    }
    out.push_str("</svg>\n");
    out
}

fn spending(spending: &[Spending]) -> String {
    let mut out = head(&[
        "window",
        "cost",
        "of it cheap",
        "per 1000 in time",
        "per 1M tokens",
        "work on cheap",
    ]);
    for it in spending {
        out.push_str(&format!(
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>\n",
            escaped(&it.window),
            number(Some(it.cost)),
            number(Some(it.cheap_cost)),
            number(it.per_thousand_in_time),
            number(it.per_million_tokens),
            percent(it.cheap_share)
        ));
    }
    out.push_str("</table>\n");
    out
}

fn refused(report: &Report) -> String {
    let mut out = head(&["class", "kind", "requests"]);
    for (class, kind, count) in report.refused() {
        out.push_str(&format!(
            "<tr><td>{}</td><td class=\"name\">{kind}</td><td>{count}</td></tr>\n",
            escaped(class)
        ));
    }
    out.push_str("</table>\n");
    out
}
