"""Options shared by the commands that call routers."""

import dataclasses
import pathlib
from typing import Annotated, Final, Literal

import cyclopts

from tamarackbridge.components.client import const, http


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(frozen=True)
class Options:
    """How to reach routers and how to print.

    Attributes:
        url: Base URL of a router's operator interface. Give several separated
            by commas, or repeat the option: they are tried in turn, while
            status, explain and requests ask all of them.
        token_file: File with the operator's bearer token.
        ca: PEM file of the authorities that issue the routers' certificates.
        certificate: PEM file of a client certificate.
        key: PEM file of the client certificate's private key.
        author: Name shown to operators whose change conflicts with yours.
        output: Tables for reading or JSON for scripts.
    """

    url: Annotated[
        tuple[str, ...], cyclopts.Parameter(env_var=const.ENV_URL)
    ] = ("http://127.0.0.1:18401",)
    token_file: Annotated[
        pathlib.Path | None, cyclopts.Parameter(env_var=const.ENV_TOKEN_FILE)
    ] = None
    ca: pathlib.Path | None = None
    certificate: pathlib.Path | None = None
    key: pathlib.Path | None = None
    author: Annotated[str, cyclopts.Parameter(env_var="USER")] = "operator"
    output: Literal["table", "json"] = "table"

    def client(self) -> http.Client:
        """Returns a client for these options."""
        return http.Client(
            http.Access(
                urls=http.urls(self.url),
                token_file=self.token_file,
                ca=self.ca,
                certificate=self.certificate,
                key=self.key,
            )
        )


DEFAULT: Final = Options()
