"""Only the program that a port is reserved for can get it."""

import asyncio

from standins import ports


async def test_program_listens_on_a_reserved_port() -> None:
    reserved = ports.ReservedPorts(2)
    server = await asyncio.start_server(
        lambda reader, writer: writer.close(), "127.0.0.1", reserved.ports[0]
    )
    server.close()
    await server.wait_closed()
    reserved.close()


async def test_kernel_gives_a_reserved_port_to_nobody_else() -> None:
    reserved = ports.ReservedPorts(200)
    other = ports.ReservedPorts(200)
    assert not set(reserved.ports) & set(other.ports)
    reserved.close()
    other.close()
