"""``peridotsill service``: operators' commands for the job service.

All but ``explain``, which reads log files, read the platform with the
settings of any job node, so they work while no node is running.
"""

import collections.abc
import contextlib
import importlib
import json
import pathlib
import typing

import attrs
import peridotsill
import peridotsill.exceptions
import typer

import peridotsill_jobs
from peridotsill_node import _cli_output

# Log fields that may hold the subject of a decision.
_SUBJECT_FIELDS = ("job", "vm", "runner", "wave", "node", "team")
_EXCLUDED_FIELDS = frozenset(
    {"task_uuid", "task_level", "timestamp", "message_type"}
)

service_app = typer.Typer(help="Inspect the job service on a platform.")

Settings = typing.Annotated[
    str,
    typer.Option(
        "--settings",
        envvar="PERIDOTSILL_CONFIG",
        help="Settings file of a job node.",
    ),
]
Adapter = typing.Annotated[
    str,
    typer.Option(
        "--adapter",
        envvar="PERIDOTSILL_ADAPTER",
        help="Module that registers the platform named in the settings.",
    ),
]


@attrs.frozen(kw_only=True)
class _ServiceContext:
    inspector: peridotsill_jobs.Inspector | None
    output_format: str


@service_app.callback()
def _main(
    context: typer.Context, settings: Settings = "", adapter: Adapter = ""
) -> None:
    output = getattr(context.obj, "output", "table")
    if context.invoked_subcommand == "explain":
        context.obj = _ServiceContext(inspector=None, output_format=output)
        return
    try:
        importlib.import_module(adapter)
        job_settings = peridotsill_jobs.load_job_settings(settings)
        ports = peridotsill_jobs.make_ports(job_settings)
    except (ImportError, ValueError) as error:
        typer.echo(f"--adapter {adapter!r}: {error}", err=True)
        raise typer.Exit(_cli_output.EXIT_USAGE) from error
    except peridotsill.exceptions.SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(_cli_output.EXIT_USAGE) from error
    inspector = peridotsill_jobs.Inspector(ports=ports)
    context.obj = _ServiceContext(inspector=inspector, output_format=output)


@contextlib.contextmanager
def _open_inspector(
    context: typer.Context,
) -> collections.abc.Iterator[peridotsill_jobs.Inspector]:
    """Yield the inspector; on an error, print it and exit with code 6."""
    assert context.obj.inspector is not None
    try:
        yield context.obj.inspector
    except peridotsill.exceptions.PeridotsillError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(_cli_output.EXIT_UNREACHABLE) from error


def _show(
    context: typer.Context, data: object, columns: str, rows: list[list[str]]
) -> None:
    _cli_output.show(context.obj.output_format, data, columns.split(), rows)


@service_app.command()
def scheduler(context: typer.Context) -> None:
    """Show which node holds the scheduler's lease, and its epoch."""
    with _open_inspector(context) as inspector:
        found = inspector.scheduler()
    if found is None:
        typer.echo("no node has held the scheduler's lease yet", err=True)
        raise typer.Exit(_cli_output.EXIT_NOT_FOUND)
    row = [found.holder or "nobody", str(found.epoch)]
    _show(context, found, "node epoch", [row])


@service_app.command()
def jobs(
    context: typer.Context,
    queue: typing.Annotated[
        str, typer.Option(help="Only jobs of this queue.")
    ] = "",
    state: typing.Annotated[
        str, typer.Option(help="Only jobs in this state.")
    ] = "",
) -> None:
    """List the jobs that have started at least one task."""
    with _open_inspector(context) as inspector:
        found = [
            job
            for job in inspector.jobs()
            if queue in ("", job.queue) and state in ("", job.state)
        ]
    rows = [
        [
            job.id,
            job.queue,
            job.state,
            str(job.count("done")),
            str(len(job.tasks)),
        ]
        for job in found
    ]
    _show(context, found, "job queue state done started", rows)


@service_app.command()
def job(context: typer.Context, queue: str, job_id: str) -> None:
    """Show a job's started tasks: the runner and run number of each."""
    with _open_inspector(context) as inspector:
        found = inspector.job(queue, job_id)
    if found is None:
        typer.echo(f"{job_id}: no task of this job was started", err=True)
        raise typer.Exit(_cli_output.EXIT_NOT_FOUND)
    rows = [
        [each.name, each.phase, str(each.run), each.runner, str(each.failures)]
        for each in found.tasks
    ]
    _show(context, found, "task phase run runner failures", rows)


@service_app.command()
def waves(context: typer.Context) -> None:
    """List the waves that were started, and their progress."""
    with _open_inspector(context) as inspector:
        found = inspector.waves()
    rows = [
        [
            each.name,
            str(len(each.begun)),
            str(len(each.done)),
            str(len(each.back)),
        ]
        for each in found
    ]
    _show(context, found, "wave begun done back", rows)


@service_app.command()
def vms(context: typer.Context) -> None:
    """List the platform's VMs."""
    with _open_inspector(context) as inspector:
        found = inspector.vms()
    rows = [
        [each.name, each.pool, str(each.state), each.rack, each.runner]
        for each in found
    ]
    _show(context, found, "vm pool state rack runner", rows)


@service_app.command()
def explain(
    context: typer.Context, subject: str, logs: list[pathlib.Path]
) -> None:
    """Print the decisions about a subject, by time.

    It is a job, VM, runner, wave, node or team. The decisions are read from
    log files that hold the nodes' standard output.
    """
    found = sorted(
        (line for path in logs for line in _messages_about(path, subject)),
        key=lambda line: line.get("timestamp", 0.0),
    )
    if not found:
        typer.echo(f"{subject}: no log line is about it", err=True)
        raise typer.Exit(_cli_output.EXIT_NOT_FOUND)
    rows = [
        [
            f"{line.get('timestamp', 0.0):.3f}",
            str(line.get("message_type", "")),
            _format_fields(line),
        ]
        for line in found
    ]
    _show(context, found, "time decision inputs", rows)


def _messages_about(
    path: pathlib.Path, subject: str
) -> collections.abc.Iterator[dict[str, typing.Any]]:
    try:
        text = path.read_text(errors="replace")
    except OSError as error:
        typer.echo(f"{path}: {error.strerror}", err=True)
        raise typer.Exit(_cli_output.EXIT_USAGE) from error
    for line in text.splitlines():
        # Other programs may write lines that aren't JSON to the same file.
        with contextlib.suppress(ValueError):
            fields = json.loads(line)
            if isinstance(fields, dict) and _is_about(fields, subject):
                yield fields


def _is_about(fields: dict[str, typing.Any], subject: str) -> bool:
    jobs = fields.get("jobs")
    return subject in (fields.get(name) for name in _SUBJECT_FIELDS) or (
        isinstance(jobs, list) and subject in jobs
    )


def _format_fields(line: dict[str, typing.Any]) -> str:
    inputs = {k: v for k, v in line.items() if k not in _EXCLUDED_FIELDS}
    return ", ".join(f"{name} {value}" for name, value in inputs.items())
