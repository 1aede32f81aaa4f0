"""Tests of the HTTP client of the VM list."""

import pytest

from standins import vm_list as stand_in
from tamarackbridge.components import vm_list
from tamarackbridge.components.settings import models as settings
from tamarackbridge.components.vm_list import http

LIVE = stand_in.Vm("vm-1", "lahore", "10.0.0.1")
LEAVING = stand_in.Vm("vm-1", "lahore", "10.0.0.1", "leaving")


def adapter(url: str) -> http.HttpVmList:
    cfg = settings.PlatformSettings(object_api="", vm_list=url, timeout_s=0.5)
    return http.HttpVmList(cfg)


@pytest.mark.parametrize(
    ("lag_s", "expected"),
    [(0.0, [vm_list.VmState.LEAVING]), (3600.0, [])],
)
async def test_lists_vms_as_of_the_lag(
    lag_s: float, expected: list[vm_list.VmState]
) -> None:
    async with stand_in.VmList(lag_s) as server:
        server.put(LIVE)
        server.put(LEAVING)
        async with adapter(f"{server.url}/vms") as client:
            answer = await client.async_list()
    assert [vm.state for vm in answer.unwrap()] == expected


@pytest.mark.parametrize("fault", ["down", "not_found"])
async def test_failures_are_errors(fault: str) -> None:
    async with stand_in.VmList() as server:
        server.faults.down = fault == "down"
        async with adapter(f"{server.url}/other") as client:
            answer = await client.async_list()
    assert isinstance(answer.unwrap_err(), vm_list.VmListError)
