"""Output and exit codes of the operators' commands."""

import peridotsill
import rich.console
import rich.table
import typer

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_NOT_FOUND = 4
EXIT_CONFLICT = 5
EXIT_UNREACHABLE = 6
EXIT_TIMEOUT = 7


def show(
    output_format: str, data: object, columns: list[str], rows: list[list[str]]
) -> None:
    """Print the rows as a table, or the data if the format is ``json``."""
    if output_format == "json":
        typer.echo(peridotsill.encode(data).decode())
        return
    table = rich.table.Table(box=None, pad_edge=False)
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*row)
    rich.console.Console(soft_wrap=True).print(table)
