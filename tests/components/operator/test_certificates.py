"""Tests of operators who are known by a client certificate."""

import asyncio
import dataclasses
import pathlib

import pytest

from tamarackbridge.components.client import app
from tests import certificates, fleet


@pytest.mark.parametrize(
    ("holder", "code"), [("ours", 0), ("strange", 4), ("", 4)]
)
async def test_operators_certificate_stands_for_a_token(
    holder: str, code: int, tmp_path: pathlib.Path
) -> None:
    made = {
        name: certificates.Authority(tmp_path, name)
        for name in ("ours", "strange")
    }
    authority = made["ours"].path
    routers = fleet.Fleet()
    cfg = routers.cfg["mela-1"]
    operator = dataclasses.replace(
        cfg.operator,
        tls=made["ours"].issue("router", authority),
        token_hashes=(),
    )
    routers.cfg["mela-1"] = dataclasses.replace(cfg, operator=operator)
    words = ["status", "--ca", str(authority)]
    if holder:
        own = made[holder].issue("operator")
        words += ["--certificate", own.certificate, "--key", own.key]
    async with routers.operated("mela-1") as router:
        found = await asyncio.to_thread(app.run, [*words, "--url", router.url])
    assert found == code
