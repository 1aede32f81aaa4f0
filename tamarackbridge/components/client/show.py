"""Shows answers of routers as tables or JSON, and failures as one line."""

from collections.abc import Callable, Sequence
import sys
from typing import TypeVar

import msgspec
import result

from tamarackbridge.components.client import const, http, options

_T = TypeVar("_T")
_Row = TypeVar("_Row")


def answer(
    found: result.Result[_T, http.CallError],
    opts: options.Options,
    printer: Callable[[_T], None],
) -> int:
    """Shows one answer, or its error; returns the exit code."""
    if isinstance(found, result.Err):
        return fail(found.err_value.exit_code, found.err_value.detail)
    if opts.output == "json":
        print(msgspec.json.encode(found.ok_value).decode())
    else:
        printer(found.ok_value)
    return const.Exit.OK


def rows(
    found: list[result.Result[_T, http.CallError]],
    opts: options.Options,
    rows_of: Callable[[_T], Sequence[_Row]],
    printer: Callable[[Sequence[_Row]], None],
    nothing: str,
) -> int:
    """Shows the rows of all answers; no row is a refusal."""
    bodies = [item.ok_value for item in found if isinstance(item, result.Ok)]
    shown = [row for body in bodies for row in rows_of(body)]
    if bodies and not shown:
        _print_errors(found)
        return fail(const.Exit.REFUSED, nothing)
    return answers(found, opts, lambda _: printer(shown))


def answers(
    found: list[result.Result[_T, http.CallError]],
    opts: options.Options,
    printer: Callable[[list[_T]], None],
) -> int:
    """Shows the answers of several routers; returns the exit code."""
    bodies = [item.ok_value for item in found if isinstance(item, result.Ok)]
    errors = _print_errors(found)
    if not bodies:
        return errors[0].exit_code if errors else const.Exit.USAGE
    if opts.output == "json":
        print(msgspec.json.encode(bodies).decode())
    else:
        printer(bodies)
    return const.Exit.OK


def _print_errors(
    found: list[result.Result[_T, http.CallError]],
) -> list[http.CallError]:
    errors = [item.err_value for item in found if isinstance(item, result.Err)]
    for error in errors:
        print(error.detail, file=sys.stderr)
    return errors


def fail(code: const.Exit, detail: str) -> int:
    """Prints one line on stderr and returns the exit code."""
    line = " ".join(detail.split())
    shown = "".join(char if char.isprintable() else "?" for char in line)
    print(shown, file=sys.stderr)
    return code
