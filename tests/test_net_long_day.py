"""Tests that state of removed servers, of keys and of clients is released and not passed on to new servers.

Thousands of list changes stand for a day of deployments; tables that keep old entries would grow with it.
"""

from net_helpers import (
    HOST,
    FakePeer,
    Sidecar,
    answer_ok,
    config,
    endpoint_update,
    entry,
    http_request,
    run,
    send_request,
    wait_until,
)

from ochreflow.membership.endpoint_list import parse_endpoint_update

LIST_VERSIONS = 3000


def test_tables_do_not_grow_with_replaced_servers_new_keys_and_new_clients(tmp_path):
    async def scenario():
        peer = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s0", peer.address)))) as sidecar:
            engine, balancer = sidecar.engine, sidecar.engine.balancer
            for number in range(1, LIST_VERSIONS):
                update = endpoint_update(
                    number + 1,
                    entry(f"s{number}", peer.address, since_ms=number, zone=f"z{number}"),
                    entry(f"s{number - 1}", peer.address, "DELETED"),
                    snapshot=False,
                )
                engine.on_endpoint_update(parse_endpoint_update(update, sidecar.endpoint_ids))
                if number % 20 == 0:
                    data = http_request("lookup", f"id{number}", "900m", b"", f"X-Key: key{number}")
                    assert (await send_request(sidecar.port, data)).code == 200
                assert len(sidecar.endpoint_ids.servers) <= 2
            await wait_until(lambda: not sidecar.http.clients.connections)
            assert len(balancer.endpoints.servers) <= 2 and len(sidecar.upstreams.targets) == 1
            assert len(sidecar.upstreams.connections) <= 2
            assert len(balancer.picker.groups) <= 4 and len(sidecar.endpoint_ids.zones) <= 256
            assert not (balancer.pending or engine.requests.pending or engine.attempts.in_flight)
            # A timer is removed at the deadline of its request, whatever the outcome.
            assert len(balancer.context.timers) <= LIST_VERSIONS / 20
            assert balancer.endpoints.inflight == 0 and engine.memory.reserved_bytes == 0

    run(scenario())


def test_a_new_server_at_the_address_of_a_deleted_one_inherits_no_state(tmp_path):
    async def scenario():
        peer = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", peer.address)))) as sidecar:
            engine, balancer = sidecar.engine, sidecar.engine.balancer
            for number in range(3):
                assert (await send_request(sidecar.port, http_request("lookup", f"a{number}"))).code == 200
            (old,) = balancer.endpoints.servers.values()
            assert old.samples == 3
            old.consecutive_failures = 5.0
            balancer.outlier_detector.eject(old)
            update = endpoint_update(
                2, entry("s1", peer.address, "DELETED"), entry("s2", peer.address), snapshot=False
            )
            engine.on_endpoint_update(parse_endpoint_update(update, sidecar.endpoint_ids))
            (new,) = [server for server in balancer.endpoints.servers.values() if server.listed]
            assert new is not old and not new.ejected and not new.samples and not balancer.endpoints.ejected
            assert (await send_request(sidecar.port, http_request("lookup", "b"))).code == 200
            assert peer.connections == 2 and peer.received[-1].connection == 2

    run(scenario())


def test_a_server_that_is_listed_again_after_its_deletion_is_a_new_server(tmp_path):
    async def scenario():
        peer = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", f"{HOST}:9")))) as sidecar:
            engine = sidecar.engine
            for index, status in ((2, "DELETED"), (3, "SERVING")):
                update = endpoint_update(index, entry("s1", peer.address, status), snapshot=False)
                engine.on_endpoint_update(parse_endpoint_update(update, sidecar.endpoint_ids))
            assert (await send_request(sidecar.port, http_request("order", "a"))).code == 200
            assert list(sidecar.upstreams.targets) == list(engine.balancer.endpoints.servers)

    run(scenario())
