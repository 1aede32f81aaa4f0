"""Prints replies of routers as tables or JSON, and errors as one line."""

from collections.abc import Callable, Sequence
import sys
from typing import TypeVar

import msgspec
import result

from tamarackbridge.components.client import const, http, options

_T = TypeVar("_T")
_Row = TypeVar("_Row")


def print_reply(
    reply: result.Result[_T, http.CallError],
    opts: options.Options,
    printer: Callable[[_T], None],
) -> int:
    """Prints one reply, or its error; returns the exit code."""
    if isinstance(reply, result.Err):
        return fail(reply.err_value.exit_code, reply.err_value.detail)
    if opts.output == "json":
        print(msgspec.json.encode(reply.ok_value).decode())
    else:
        printer(reply.ok_value)
    return const.Exit.OK


def print_rows(
    replies: list[result.Result[_T, http.CallError]],
    opts: options.Options,
    rows_of: Callable[[_T], Sequence[_Row]],
    printer: Callable[[Sequence[_Row]], None],
    empty_message: str,
) -> int:
    """Prints the rows of all replies; returns the exit code.

    If routers replied but with no row at all, the result is `Exit.REFUSED` and
    `empty_message` is printed as the error.
    """
    bodies = [item.ok_value for item in replies if isinstance(item, result.Ok)]
    shown = [row for body in bodies for row in rows_of(body)]
    if bodies and not shown:
        _print_errors(replies)
        return fail(const.Exit.REFUSED, empty_message)
    return print_replies(replies, opts, lambda _: printer(shown))


def print_replies(
    replies: list[result.Result[_T, http.CallError]],
    opts: options.Options,
    printer: Callable[[list[_T]], None],
) -> int:
    """Prints the replies of several routers; returns the exit code.

    The errors of all routers that failed are printed too. If no router replied,
    the exit code is that of the first error.
    """
    bodies = [item.ok_value for item in replies if isinstance(item, result.Ok)]
    errors = _print_errors(replies)
    if not bodies:
        return errors[0].exit_code if errors else const.Exit.USAGE
    if opts.output == "json":
        print(msgspec.json.encode(bodies).decode())
    else:
        printer(bodies)
    return const.Exit.OK


def _print_errors(
    replies: list[result.Result[_T, http.CallError]],
) -> list[http.CallError]:
    errors = [
        item.err_value for item in replies if isinstance(item, result.Err)
    ]
    for error in errors:
        print(error.detail, file=sys.stderr)
    return errors


def fail(code: const.Exit, detail: str) -> int:
    """Prints an error to stderr as one line; returns the exit code.

    Unprintable characters become question marks, so that text from a router
    can't send control codes to the terminal.
    """
    line = " ".join(detail.split())
    shown = "".join(char if char.isprintable() else "?" for char in line)
    print(shown, file=sys.stderr)
    return code
