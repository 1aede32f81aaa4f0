"""Tests of operators that authenticate with a client certificate.

A certificate of another authority, or none, must not give access.
"""

import asyncio
import dataclasses
import pathlib

import pytest

from tamarackbridge.components.client import app
from tests import certificates, fleet


@pytest.mark.parametrize(
    ("issuer", "code"), [("ours", 0), ("strange", 4), ("", 4)]
)
async def test_certificate_of_the_client_ca_replaces_a_token(
    issuer: str, code: int, tmp_path: pathlib.Path
) -> None:
    authorities = {
        name: certificates.Authority(tmp_path, name)
        for name in ("ours", "strange")
    }
    ca_path = authorities["ours"].path
    routers = fleet.Fleet()
    cfg = routers.cfg["mela-1"]
    operator = dataclasses.replace(
        cfg.operator,
        tls=authorities["ours"].issue("router", ca_path),
        token_hashes=(),
    )
    routers.cfg["mela-1"] = dataclasses.replace(cfg, operator=operator)
    words = ["status", "--ca", str(ca_path)]
    if issuer:
        credentials = authorities[issuer].issue("operator")
        words += [
            "--certificate",
            credentials.certificate,
            "--key",
            credentials.key,
        ]
    async with routers.operated("mela-1") as router:
        exit_code = await asyncio.to_thread(
            app.run, [*words, "--url", router.url]
        )
    assert exit_code == code
