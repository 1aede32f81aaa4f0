"""A simulated session of routers, with a transcript of what they did.

The transcript shows what callers, operators and backend servers observed.
"""

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

_TRAILING_SPACES = re.compile(r" +$", re.MULTILINE)


class Session(fleet.Fleet):
    """Simulates callers and operators of a fleet and writes a transcript.

    Attributes:
        lines: The transcript, line by line.
        lists_requests: Whether requests and their starts appear one by one in
            the transcript; if not, only their outcomes are counted.
        folder: The folder of the files that the commands read.
    """

    def __init__(self, folder: pathlib.Path, deployment: str) -> None:
        self.lines: list[str] = []
        self.lists_requests = True
        self.folder = folder
        self._request_count = 0
        self._permits: dict[str, dispatch.Permitted] = {}
        self._outcome_counts: dict[str, int] = {}
        super().__init__(deployment=deployment)
        self.load_records(deployment)
        (folder / "token").write_text(fleet.TOKEN)
        records = world.ROOT / "examples" / deployment / "records.toml"
        (folder / "records.toml").write_text(records.read_text())

    def add_line(self, subject: str, text: str) -> None:
        """Adds a line with the virtual time to the transcript."""
        self.lines.append(f"{self.bus.now:7.2f} s  {subject}: {text}")

    def add_heading(self, text: str) -> None:
        """Adds the heading of a section to the transcript."""
        self.lines.append(f"\n## {text}")

    def transcript(self) -> str:
        """Returns the transcript without what differs between runs.

        The path of `folder` becomes `DIR`, and trailing spaces are removed.
        """
        text = "\n".join(self.lines) + "\n"
        return _TRAILING_SPACES.sub("", text.replace(str(self.folder), "DIR"))

    # Operators.

    async def run_commands(self, node: str, *commands: str) -> int:
        """Runs commands of the operators' client.

        The client gets the URLs of all running routers, `node` first. `DIR` in
        a command stands for `folder`.

        Returns:
            The exit code of the last command.
        """
        code = 0
        async with contextlib.AsyncExitStack() as stack:
            urls = []
            others = [name for name in self.cfg if name != node]
            for other in (node, *others):
                if self.bus.alive(other):
                    interface = self.operated(other)
                    urls.append(
                        (await stack.enter_async_context(interface)).url
                    )
            env = {
                "COLUMNS": "120",
                const.ENV_URL: ",".join(urls),
                const.ENV_TOKEN_FILE: str(self.folder / "token"),
                "USER": "noor",
            }
            for command in commands:
                code = await self._run_command(node, command, env)
        return code

    async def _run_command(
        self, node: str, command: str, env: dict[str, str]
    ) -> int:
        arguments = shlex.split(command.replace("DIR", str(self.folder)))
        output = io.StringIO()
        self.add_line(f"operator at {node}", f"$ tamarackbridge {command}")
        with (
            mock.patch.dict(os.environ, env),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
        ):
            code = await asyncio.to_thread(app.run, arguments)
        for line in output.getvalue().splitlines():
            self.lines.append(f"    {line}")
        self.add_line(f"operator at {node}", f"exit {int(code)}")
        return code

    # Callers.

    def send_request(
        self,
        node: str,
        workspace: str,
        path: str,
        key: str = "",
        work_s: float = 0.3,
    ) -> None:
        """Sends one request to a router.

        Args:
            node: The router.
            workspace: The workspace that the request belongs to.
            path: Service and route, as `service/route`.
            key: The idempotency key; unused where the route is idempotent.
            work_s: How long a backend server works on the request.
        """
        self._request_count += 1
        service, _, route_name = path.partition("/")
        snapshot = self.entries[node].snapshot
        routes = snapshot.services[service].routes
        route = next(item for item in routes if item.name == route_name)
        req = world.Request(
            request_id=f"q{self._request_count}",
            service=service,
            route=route,
            workspace=workspace,
            work_s=work_s,
            due=self.bus.now + route.deadline_s,
            key=key,
        )
        self._add_request_line(
            "caller", req, f"sends to {node}{_describe_key(req)}"
        )
        self.call(node, req)

    def answered(self, req: world.Request, answer: str, now: float) -> None:
        super().answered(req, answer, now)
        suffix = f" after {req.started} starts" if req.started > 1 else ""
        self._add_request_line("caller", req, f"{answer}{suffix}")
        self._outcome_counts[answer] = self._outcome_counts.get(answer, 0) + 1

    def add_outcome_counts(self) -> None:
        """Adds the number of requests per outcome since the last call."""
        summary = ", ".join(
            f"{count} {answer}"
            for answer, count in sorted(self._outcome_counts.items())
        )
        self.add_line("callers", summary or "nothing ended")
        self._outcome_counts.clear()

    # Backend servers.

    def started(
        self,
        entry: world.Entry,
        req: world.Request,
        server: world.Server,
        now: float,
    ) -> None:
        running = len(server.running)
        if not self.lists_requests:
            return
        self.add_line(
            f"server {server.record.name}",
            f"starts {req.route.name} {req.request_id}, {running} running",
        )

    def add_running_counts(self) -> None:
        """Adds the number of running requests of each backend server."""
        summary = ", ".join(
            f"{name} {len(server.running)}"
            for name, server in sorted(self.servers.items())
        )
        self.add_line("servers", summary)

    def _add_request_line(
        self, subject: str, req: world.Request, text: str
    ) -> None:
        if self.lists_requests:
            name = f"{req.route.name} {req.request_id}"
            self.add_line(f"{subject} {req.workspace}", f"{name}: {text}")


def _describe_key(req: world.Request) -> str:
    return "" if req.route.idempotent else f" with key {req.key}"
