"""What the operators' commands print, and how they end."""

import peridotsill
import rich.console
import rich.table
import typer

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 4
EXIT_CONFLICT = 5
EXIT_UNREACHABLE = 6
EXIT_TIMEOUT = 7


def show(
    form: str, data: object, columns: list[str], rows: list[list[str]]
) -> None:
    """Print the data as JSON if ``form`` is ``json``, else a table."""
    if form == "json":
        typer.echo(peridotsill.encode(data).decode())
        return
    table = rich.table.Table(box=None, pad_edge=False)
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*row)
    rich.console.Console(soft_wrap=True).print(table)
