"""Reloads certificates without a restart of their listeners."""

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
    """A listener's context whose certificates can be replaced.

    New handshakes use the newest files that match each other; open connections
    are not affected. Certificates of removed authorities are no longer
    accepted.

    Attributes:
        context: The context to listen with.
        reloads: Number of times that changed files were loaded.
        failures: Number of times that changed files could not be used.
    """

    def __init__(self, cfg: settings.TlsSettings) -> None:
        self.context = contexts.server_context(cfg)
        self.reloads = 0
        self.failures = 0
        self._cfg = cfg
        self._current = contexts.server_context(cfg)
        self._loaded_fingerprint = fingerprint(cfg)
        self.context.sni_callback = self._select_context

    def reload(self) -> None:
        """Reloads the files if they have changed."""
        current = fingerprint(self._cfg)
        if current == self._loaded_fingerprint:
            return
        self._loaded_fingerprint = current
        try:
            self._current = contexts.server_context(self._cfg)
        except exceptions.TlsError as exc:
            self.failures += 1
            logging.warning(
                "certificates not reloaded, keeping the former ones: %s", exc
            )
            return
        self.reloads += 1
        logging.info("certificates reloaded: %s", self._cfg.certificate)

    def _select_context(
        self, conn: ssl.SSLObject, name: str | None, _: ssl.SSLContext
    ) -> None:
        del name  # The same certificate is used for all server names.
        conn.context = self._current


class Reloadable(Protocol):
    """Something that is loaded from certificate files."""

    def reload(self) -> None:
        """Reloads the files if they have changed."""
        ...


class ReloadService(core.Service):
    """Reloads changed certificate files periodically."""

    def __init__(self) -> None:
        super().__init__()
        self._reloadables: list[Reloadable] = []

    def create_context(self, cfg: settings.TlsSettings) -> ssl.SSLContext:
        """Returns a context that is reloaded when its files change.

        Raises:
            TlsError: The files can't be read or don't match.
        """
        reloading = ReloadingContext(cfg)
        self.register(reloading)
        return reloading.context

    def register(self, reloadable: Reloadable) -> None:
        """Adds an object to those that are reloaded."""
        self._reloadables.append(reloadable)

    def reload(self) -> None:
        """Reloads changed files now, without waiting for the next check."""
        for item in self._reloadables:
            item.reload()

    @mode.Service.task
    async def _async_check(self) -> None:
        while not self.should_stop:
            await self.sleep(CHECK_INTERVAL_S)
            self.reload()


def fingerprint(cfg: settings.TlsSettings) -> str:
    """Returns a hash of the files' content; unreadable files count as empty."""
    digest = hashlib.sha256()
    for path in (cfg.certificate, cfg.key, cfg.client_ca):
        try:
            content = pathlib.Path(path).read_bytes() if path else b""
        except OSError:
            content = b""
        digest.update(hashlib.sha256(content).digest())
    return digest.hexdigest()
