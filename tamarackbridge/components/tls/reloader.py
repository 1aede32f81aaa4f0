"""Reloads certificates while listeners go on."""

import hashlib
import pathlib
import ssl
from typing import Protocol

from absl import logging
import mode

from tamarackbridge import core
from tamarackbridge.components.settings import models as settings
from tamarackbridge.components.tls import contexts, exceptions

CHECK_INTERVAL_S = 5.0


class ReloadingContext:
    """A server's context whose certificates can be replaced.

    New handshakes use the newest files that fit each other; connections that
    are open go on. Authorities that were taken out are no longer accepted.

    Attributes:
        context: The context to listen with.
        reloads: How often new files were taken in.
        failures: How often new files could not be used.
    """

    def __init__(self, cfg: settings.TlsSettings) -> None:
        self.context = contexts.server_context(cfg)
        self.reloads = 0
        self.failures = 0
        self._cfg = cfg
        self._current = contexts.server_context(cfg)
        self._seen = fingerprint(cfg)
        self.context.sni_callback = self._choose

    def reload(self) -> None:
        """Takes the files in if they have changed."""
        now = fingerprint(self._cfg)
        if now == self._seen:
            return
        self._seen = now
        try:
            self._current = contexts.server_context(self._cfg)
        except exceptions.TlsError as exc:
            self.failures += 1
            logging.warning("certificates not reloaded: %s", exc)
            return
        self.reloads += 1
        logging.info("certificates reloaded: %s", self._cfg.certificate)

    def _choose(
        self, conn: ssl.SSLObject, name: str | None, _: ssl.SSLContext
    ) -> None:
        del name  # One certificate serves all names.
        conn.context = self._current


class Reloading(Protocol):
    """What rests on certificates in files."""

    def reload(self) -> None:
        """Takes the files in if they have changed."""
        ...


class ReloadService(core.Service):
    """Looks for changed files now and then."""

    def __init__(self) -> None:
        super().__init__()
        self._reloading: list[Reloading] = []

    def add(self, cfg: settings.TlsSettings) -> ssl.SSLContext:
        """Returns a context that follows its files.

        Raises:
            TlsError: The files can't be used now.
        """
        made = ReloadingContext(cfg)
        self.follow(made)
        return made.context

    def follow(self, made: Reloading) -> None:
        """Looks after something else that rests on files."""
        self._reloading.append(made)

    def reload(self) -> None:
        """Looks for changed files at once."""
        for item in self._reloading:
            item.reload()

    @mode.Service.task
    async def _async_check(self) -> None:
        while not self.should_stop:
            await self.sleep(CHECK_INTERVAL_S)
            self.reload()


def fingerprint(cfg: settings.TlsSettings) -> str:
    """Returns a hash of the files; files that can't be read count as empty."""
    digest = hashlib.sha256()
    for path in (cfg.certificate, cfg.key, cfg.client_ca):
        try:
            content = pathlib.Path(path).read_bytes() if path else b""
        except OSError:
            content = b""
        digest.update(hashlib.sha256(content).digest())
    return digest.hexdigest()
