//! Plain tables.

/// Columns aligned by spaces, with a head line.
pub(crate) fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|it| it.get(column)).map(|it| it.chars().count());
        cells.chain([head[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<_> = (0..head.len()).map(width).collect();
    let mut out = line(&widths, head.iter().copied());
    for row in rows {
        out.push_str(&line(&widths, row.iter().map(String::as_str)));
    }
    out
}

fn line<'a>(widths: &[usize], cells: impl Iterator<Item = &'a str>) -> String {
    let cells: Vec<_> =
        widths.iter().zip(cells).map(|(width, cell)| format!("{cell:width$}")).collect();
    format!("{}\n", cells.join("  ").trim_end())
}
