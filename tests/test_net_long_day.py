"""A long day in short: whatever is ever new must leave nothing behind, and inherit nothing."""

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

DAYS_WORTH = 3000


def test_ever_new_servers_keys_and_clients_leave_no_tables_behind(tmp_path):
    async def play():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s0", fake.address)))) as sidecar:
            engine, module = sidecar.engine, sidecar.engine.balancer
            for number in range(1, DAYS_WORTH):
                change = endpoint_update(
                    number + 1,
                    entry(f"s{number}", fake.address, since_ms=number, zone=f"z{number}"),
                    entry(f"s{number - 1}", fake.address, "DELETED"),
                    snapshot=False,
                )
                engine.on_endpoint_update(parse_endpoint_update(change, sidecar.endpoint_ids))
                if number % 20 == 0:
                    data = http_request("lookup", f"id{number}", "900m", b"", f"X-Key: key{number}")
                    assert (await send_request(sidecar.port, data)).code == 200
                assert len(sidecar.endpoint_ids.servers) <= 2
            await wait_until(lambda: not sidecar.http.clients.connections)
            assert len(module.endpoints.servers) <= 2 and len(sidecar.upstreams.targets) == 1
            assert len(sidecar.upstreams.connections) <= 2
            assert len(module.picker.groups) <= 4 and len(sidecar.endpoint_ids.zones) <= 256
            assert not (module.pending or engine.requests.pending or engine.attempts.in_flight)
            assert (
                len(module.context.timers) <= DAYS_WORTH / 20
            )  # each goes with its deadline, whatever came of it
            assert module.endpoints.inflight == 0 and engine.memory.reserved_bytes == 0

    run(play())


def test_a_new_server_at_an_old_address_inherits_nothing(tmp_path):
    async def play():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            engine, module = sidecar.engine, sidecar.engine.balancer
            for number in range(3):
                assert (await send_request(sidecar.port, http_request("lookup", f"a{number}"))).code == 200
            (old,) = module.endpoints.servers.values()
            assert old.samples == 3
            old.consecutive_failures = 5.0
            module.outlier_detector.eject(old)
            change = endpoint_update(
                2, entry("s1", fake.address, "DELETED"), entry("s2", fake.address), snapshot=False
            )
            engine.on_endpoint_update(parse_endpoint_update(change, sidecar.endpoint_ids))
            (new,) = [server for server in module.endpoints.servers.values() if server.listed]
            assert new is not old and not new.ejected and not new.samples and not module.endpoints.ejected
            assert (await send_request(sidecar.port, http_request("lookup", "b"))).code == 200
            assert fake.connections == 2 and fake.received[-1].connection == 2

    run(play())


def test_a_server_that_comes_back_after_it_was_deleted_is_a_new_one(tmp_path):
    async def play():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", f"{HOST}:9")))) as sidecar:
            engine = sidecar.engine
            for index, status in ((2, "DELETED"), (3, "SERVING")):
                change = endpoint_update(index, entry("s1", fake.address, status), snapshot=False)
                engine.on_endpoint_update(parse_endpoint_update(change, sidecar.endpoint_ids))
            assert (await send_request(sidecar.port, http_request("order", "a"))).code == 200
            assert list(sidecar.upstreams.targets) == list(engine.balancer.endpoints.servers)

    run(play())
