"""Commands of the command-line program.

The doc comment of a command is its help text; the names of its functions and
parameters are commands and flags.
"""

import dataclasses
import datetime
import importlib
import pathlib
import socket
from typing import Annotated, Literal
import uuid

import cyclopts
import msgspec
import result

from tamarackbridge.components.client import (
    checks,
    configuration_check,
    const,
    http,
    show,
    tables,
)
from tamarackbridge.components.client import options as client_options
from tamarackbridge.components.client import reference as reference_page
from tamarackbridge.components.operator import const as api
from tamarackbridge.components.operator import messages
from tamarackbridge.components.records import codec, files
from tamarackbridge.components.settings import loader
from tamarackbridge.components.telemetry import (
    request_outcomes,
    request_trace,
    spans,
)
from tamarackbridge.components.telemetry import timeline as request_timeline
from tamarackbridge.components.tls import exceptions as tls

Options = client_options.Options
DEFAULT = client_options.DEFAULT
Kind = Literal["zone", "service", "server", "workspace"]

app = cyclopts.App(
    name="tamarackbridge",
    help="A router fleet that shares capacity fairly between workspaces.",
    help_epilogue=const.EXIT_HELP,
    help_format="plaintext",
)
zone_app = cyclopts.App(name="zone", help="Availability zones.")
server_app = cyclopts.App(name="server", help="Backend servers.")
requests_app = cyclopts.App(name="requests", help="Requests.")
app.command(zone_app)
app.command(server_app)
app.command(requests_app)


@app.command
def router(*, settings: pathlib.Path) -> int:
    """Runs a router until a signal ends it.

    Args:
        settings: TOML file with the settings of this router.
    """
    loaded = loader.load(settings)
    if isinstance(loaded, result.Err):
        return show.fail(const.Exit.USAGE, str(loaded.err_value))
    router_module = importlib.import_module("tamarackbridge.router")
    code: int = router_module.run(loaded.ok_value)
    return code


@app.command
def platform_router(
    *, settings: pathlib.Path | None = None, traces: str = spans.OFF
) -> int:
    """Runs a router on the users' platform until a signal ends it.

    Args:
        settings: The platform's settings file; by default the one that the
            platform names.
        traces: Where spans go: off, log, or the URL of an OTLP collector.
    """
    exporters = importlib.import_module(
        "tamarackbridge.components.telemetry.traces"
    )
    try:
        tracer = exporters.make_tracer(traces, socket.gethostname())
    except exporters.TracesError as exc:
        return show.fail(const.Exit.USAGE, str(exc))
    start = importlib.import_module("tamarackbridge.platform.start")
    code: int = start.run(settings, tracer)
    return code


@app.command
def check(
    candidate: pathlib.Path | None = None,
    *,
    settings: pathlib.Path | None = None,
    platform: bool = False,
    in_force: pathlib.Path | None = None,
    servers: pathlib.Path | None = None,
    output: configuration_check.Output = "text",
) -> int:
    """Checks a configuration or a settings file without starting a router.

    Args:
        candidate: JSON file with a configuration for the users' platform.
        settings: File with the settings of a router. With a candidate, those
            of the platform, whose limits the candidate has to fit.
        platform: Read the settings as those of the users' platform, not as
            TOML.
        in_force: JSON file with the configuration in force, to compare.
        servers: JSON file with the registered servers.
        output: Lines for reading or JSON for scripts.
    """
    if candidate is not None:
        return checks.check_configuration(
            candidate, settings, in_force, servers, output
        )
    if settings is None:
        return show.fail(const.Exit.USAGE, "no file to check was given")
    return checks.check_settings(settings, platform)


@app.command
def trace(request: str, *logs: pathlib.Path) -> int:
    """Prints the log lines of one request from several routers' log files.

    Args:
        request: Identifier of the request.
        logs: Log files, in any order.
    """
    try:
        lines = request_trace.find(logs, request)
    except OSError as exc:
        return show.fail(const.Exit.USAGE, str(exc))
    if not lines:
        return show.fail(const.Exit.REFUSED, f"{request}: in no log file")
    for line in request_trace.format_lines(lines):
        print(line)
    return const.Exit.OK


@app.command
def account(
    *logs: pathlib.Path, by: Literal["route", "workspace", "node"] = "route"
) -> int:
    """Prints how many requests ended in which way, from routers' log files.

    Args:
        logs: Log files, in any order.
        by: How requests are grouped.
    """
    try:
        outcomes = request_outcomes.read(logs, by)
    except OSError as exc:
        return show.fail(const.Exit.USAGE, str(exc))
    if not outcomes.ends:
        return show.fail(const.Exit.REFUSED, "no request ended in these logs")
    for line in request_outcomes.table(outcomes):
        print(line)
    return const.Exit.OK


@app.command
def timeline(
    *logs: pathlib.Path,
    by: Literal["workspace", "node"] = "workspace",
    only: str = "",
    start: datetime.datetime | None = None,
) -> int:
    """Prints the number and outcome of requests per second, from log files.

    Args:
        logs: Log files of several routers, in any order.
        by: How requests are grouped.
        only: Name of the only group to print; by default all.
        start: Start of second 0, in UTC; by default the first arrival.
    """
    try:
        steps = request_timeline.read(logs, by, start)
    except OSError as exc:
        return show.fail(const.Exit.USAGE, str(exc))
    steps = [step for step in steps if only in ("", step.group)]
    if not steps:
        return show.fail(const.Exit.REFUSED, "no such request in these logs")
    for line in request_timeline.table(steps):
        print(line)
    if only and by == "workspace":
        for node, number in request_timeline.routers(steps).most_common():
            print(f"through {node}: {number} requests")
    return const.Exit.OK


@app.command
def apply(
    *,
    file: Annotated[pathlib.Path, cyclopts.Parameter(alias="-f")],
    dry_run: bool = False,
    new_schema_version: bool = False,
    options: Options = DEFAULT,
) -> int:
    """Writes the records of a file and waits until they are accepted.

    Records that the file doesn't name are left unchanged.

    Args:
        file: TOML or JSON file with records.
        dry_run: Show what would change and write nothing.
        new_schema_version: Allow the first record of a kind in a new schema
            version. Upgrade every router first, so that all can read it.
        options: How to reach routers and how to print.
    """
    loaded = files.load(file)
    if isinstance(loaded, result.Err):
        return show.fail(const.Exit.USAGE, str(loaded.err_value))
    docs = [codec.to_document(record) for record in loaded.ok_value]
    body = msgspec.json.encode({"records": docs})
    query = _dry_run_query(dry_run)
    if new_schema_version:
        query = (*query, (api.ATTR_NEW_SCHEMA_VERSION, "true"))
    call = http.Call("POST", api.PATH_RECORDS, query, body)
    return _send_change(call, options)


@app.command
def get(
    kind: Kind,
    name: str | None = None,
    *,
    schema_version: int | None = None,
    options: Options = DEFAULT,
) -> int:
    """Shows the records of one kind, or one record.

    Args:
        kind: Kind of the records.
        name: Name of one record.
        schema_version: Schema version to show the record in; by default the
            one it was written in.
        options: How to reach routers and how to print.
    """
    parts = (kind,) if name is None else (kind, name)
    query: tuple[tuple[str, str], ...] = ()
    if schema_version is not None:
        query = (("schema_version", str(schema_version)),)
    path = http.path(api.PATH_RECORDS, *parts)
    reply = options.client().call(
        http.Call("GET", path, query), messages.RecordsReply
    )
    return show.print_reply(
        reply, options, lambda body: tables.print_records(kind, body)
    )


@app.command
def delete(
    kind: Kind, name: str, *, dry_run: bool = False, options: Options = DEFAULT
) -> int:
    """Deletes one record.

    Args:
        kind: Kind of the record.
        name: Name of the record.
        dry_run: Show what would change and write nothing.
        options: How to reach routers and how to print.
    """
    path = http.path(api.PATH_RECORDS, kind, name)
    return _send_change(
        http.Call("DELETE", path, _dry_run_query(dry_run)), options
    )


@zone_app.command
def take_out(
    name: str, *, dry_run: bool = False, options: Options = DEFAULT
) -> int:
    """Takes an availability zone out of service: it gets no new work."""
    path = http.path(api.PATH_ZONES, name, api.ACTION_TAKE_OUT)
    return _send_change(
        http.Call("POST", path, _dry_run_query(dry_run)), options
    )


@zone_app.command
def bring_back(
    name: str, *, dry_run: bool = False, options: Options = DEFAULT
) -> int:
    """Brings an availability zone back into service."""
    path = http.path(api.PATH_ZONES, name, api.ACTION_BRING_BACK)
    return _send_change(
        http.Call("POST", path, _dry_run_query(dry_run)), options
    )


@server_app.command
def drain(
    name: str, *, dry_run: bool = False, options: Options = DEFAULT
) -> int:
    """Drains a backend server: it finishes running work and gets no more."""
    path = http.path(api.PATH_SERVERS, name, api.ACTION_DRAIN)
    return _send_change(
        http.Call("POST", path, _dry_run_query(dry_run)), options
    )


@server_app.command
def undrain(
    name: str, *, dry_run: bool = False, options: Options = DEFAULT
) -> int:
    """Stops draining a backend server, so that it gets new work again."""
    path = http.path(api.PATH_SERVERS, name, api.ACTION_UNDRAIN)
    return _send_change(
        http.Call("POST", path, _dry_run_query(dry_run)), options
    )


@app.command
def status(*, options: Options = DEFAULT) -> int:
    """Shows members, shard holders, generations, permits and queues."""
    replies = options.client().call_all(
        http.Call("GET", api.PATH_STATUS), messages.Status
    )
    return show.print_replies(replies, options, tables.print_status)


@app.command
def explain(workspace: str, *, options: Options = DEFAULT) -> int:
    """Shows why a workspace gets the service it gets.

    Args:
        workspace: Name of the workspace.
        options: How to reach routers and how to print.
    """
    path = http.path(api.PATH_EXPLAIN, workspace)
    replies = options.client().call_all(
        http.Call("GET", path), messages.ExplainReply
    )
    return show.print_rows(
        replies,
        options,
        lambda reply: reply.explanations,
        tables.print_explanations,
        f"no router that answered knows the workspace {workspace}",
    )


@requests_app.command
def find(request_id: str, *, options: Options = DEFAULT) -> int:
    """Finds a request by its identifier.

    Args:
        request_id: The value of the header X-Request-Id.
        options: How to reach routers and how to print.
    """
    path = http.path(api.PATH_REQUESTS, request_id)
    replies = options.client().call_all(
        http.Call("GET", path), messages.RequestsReply
    )
    return show.print_rows(
        replies,
        options,
        lambda reply: reply.requests,
        tables.print_requests,
        f"no router that answered knows the request {request_id}",
    )


@app.command
def reference() -> int:
    """Prints all keys of settings and records, as Markdown."""
    print(reference_page.page(), end="")
    return const.Exit.OK


@app.command
def completion(shell: Literal["bash", "zsh", "fish"]) -> int:
    """Prints the completion script for a shell.

    Args:
        shell: Name of the shell.
    """
    print(app.generate_completion(shell=shell))
    return const.Exit.OK


def run(tokens: list[str] | None = None) -> int:
    """Runs one command and returns the exit code."""
    try:
        exit_code = app(
            tokens,
            exit_on_error=False,
            print_error=True,
            result_action="return_value",
        )
    except cyclopts.CycloptsError:
        return const.Exit.USAGE
    except tls.TlsError as exc:
        return show.fail(const.Exit.USAGE, str(exc))
    except OSError as exc:
        return show.fail(const.Exit.USAGE, f"{exc.filename}: {exc.strerror}")
    return exit_code if isinstance(exit_code, int) else const.Exit.OK


def _dry_run_query(dry_run: bool) -> tuple[tuple[str, str], ...]:
    return ((api.ATTR_DRY_RUN, "true"),) if dry_run else ()


def _send_change(call: http.Call, options: Options) -> int:
    headers = (
        (api.HEADER_CHANGE_ID, uuid.uuid4().hex),
        (api.HEADER_AUTHOR, options.author),
    )
    identified_call = dataclasses.replace(call, headers=headers)
    reply = options.client().call(identified_call, messages.ChangeReply)
    return show.print_reply(reply, options, tables.print_changes)
