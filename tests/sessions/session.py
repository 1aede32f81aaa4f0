"""A whole session, written down as callers, operators and servers saw it."""

import asyncio
import contextlib
import io
import os
import pathlib
import re
import shlex
from unittest import mock

from bench import world
from tamarackbridge.components.client import app, const
from tamarackbridge.components.dispatch import messages as dispatch
from tests import fleet

_SPACES = re.compile(r" +$", re.MULTILINE)


class Session(fleet.Fleet):
    """Plays callers and operators, and keeps a transcript.

    Attributes:
        lines: The transcript.
        loud: Whether each request is written down, or only counted.
    """

    def __init__(self, folder: pathlib.Path, deployment: str) -> None:
        self.lines: list[str] = []
        self.loud = True
        self.folder = folder
        self._number = 0
        self._permits: dict[str, dispatch.Permitted] = {}
        self._counts: dict[str, int] = {}
        super().__init__(deployment=deployment)
        self.load_records(deployment)
        (folder / "token").write_text(fleet.TOKEN)
        records = world.ROOT / "examples" / deployment / "records.toml"
        (folder / "records.toml").write_text(records.read_text())

    def say(self, who: str, what: str) -> None:
        """Writes one line down."""
        self.lines.append(f"{self.bus.now:7.2f} s  {who}: {what}")

    def title(self, text: str) -> None:
        """Starts a part of the session."""
        self.lines.append(f"\n## {text}")

    def transcript(self) -> str:
        """Returns all lines, without what differs between runs."""
        text = "\n".join(self.lines) + "\n"
        return _SPACES.sub("", text.replace(str(self.folder), "DIR"))

    # Operators.

    async def operate(self, node: str, *commands: str) -> int:
        """Runs commands of the operators' client, one router asked first.

        Returns:
            The exit code of the last command.
        """
        code = 0
        async with contextlib.AsyncExitStack() as stack:
            urls = []
            others = [name for name in self.cfg if name != node]
            for other in (node, *others):
                if self.bus.alive(other):
                    routers = self.operated(other)
                    urls.append((await stack.enter_async_context(routers)).url)
            env = {
                "COLUMNS": "120",
                const.ENV_URL: ",".join(urls),
                const.ENV_TOKEN_FILE: str(self.folder / "token"),
                "USER": "noor",
            }
            for command in commands:
                code = await self._command(node, command, env)
        return code

    async def _command(
        self, node: str, command: str, env: dict[str, str]
    ) -> int:
        words = shlex.split(command.replace("DIR", str(self.folder)))
        out = io.StringIO()
        self.say(f"operator at {node}", f"$ tamarackbridge {command}")
        with (
            mock.patch.dict(os.environ, env),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(out),
        ):
            code = await asyncio.to_thread(app.run, words)
        for line in out.getvalue().splitlines():
            self.lines.append(f"    {line}")
        self.say(f"operator at {node}", f"exit {int(code)}")
        return code

    # Callers.

    def ask(
        self,
        node: str,
        workspace: str,
        path: str,
        key: str = "",
        work_s: float = 0.3,
    ) -> None:
        """Sends one request, `service/route`, to a router."""
        self._number += 1
        service, _, name = path.partition("/")
        snapshot = self.entries[node].snapshot
        routes = snapshot.services[service].routes
        route = next(item for item in routes if item.name == name)
        req = world.Request(
            request_id=f"q{self._number}",
            service=service,
            route=route,
            workspace=workspace,
            work_s=work_s,
            due=self.bus.now + route.deadline_s,
            key=key,
        )
        self._note("caller", req, f"sends to {node}{_key(req)}")
        self.call(node, req)

    def answered(self, req: world.Request, answer: str, now: float) -> None:
        super().answered(req, answer, now)
        where = f" after {req.started} starts" if req.started > 1 else ""
        self._note("caller", req, f"{answer}{where}")
        self._counts[answer] = self._counts.get(answer, 0) + 1

    def tally(self) -> None:
        """Writes down how many requests ended in which way."""
        found = ", ".join(
            f"{count} {answer}"
            for answer, count in sorted(self._counts.items())
        )
        self.say("callers", found or "nothing ended")
        self._counts.clear()

    # Backend servers.

    def started(
        self,
        entry: world.Entry,
        req: world.Request,
        server: world.Server,
        now: float,
    ) -> None:
        running = len(server.running)
        if not self.loud:
            return
        self.say(
            f"server {server.record.name}",
            f"starts {req.route.name} {req.request_id}, {running} running",
        )

    def most_running(self) -> None:
        """Writes down what runs on each backend server."""
        found = ", ".join(
            f"{name} {len(server.running)}"
            for name, server in sorted(self.servers.items())
        )
        self.say("servers", found)

    def _note(self, who: str, req: world.Request, what: str) -> None:
        if self.loud:
            name = f"{req.route.name} {req.request_id}"
            self.say(f"{who} {req.workspace}", f"{name}: {what}")


def _key(req: world.Request) -> str:
    return "" if req.route.idempotent else f" with key {req.key}"
