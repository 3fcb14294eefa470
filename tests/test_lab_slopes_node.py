"""Measurements of a node's cost: the bench and its processes at tiny sizes, and fakes whose cost is known."""

import os
import time

import pytest

from caperdeck.lab.slopes import bench, connections, deliveries, host_list, memory
from caperdeck.lab.slopes.bench import Bench, EndpointProcess, NodeProcess
from caperdeck.lab.slopes.clients_end import Client, ClientsEndpoint
from caperdeck.lab.slopes.deliveries import RateResult, Sizes
from caperdeck.lab.slopes.end import STAMP_DIGITS, stamped_line
from caperdeck.lab.slopes.errors import MeasurementError
from caperdeck.lab.slopes.hosts_end import LineSender
from caperdeck.lab.slopes.process import ProcessError, kernel_slab_bytes, processor_seconds, unique_set_size
from caperdeck.lab.slopes.record import Source
from caperdeck.state.descriptors import raise_descriptor_limit

MEBIBYTE = 1 << 20


def ignore_progress(text):
    pass


def by_name(measured):
    return {measurement.name: measurement for measurement in measured}


def costs(measurement):
    return [point.cost for point in measurement.points]


# ---- usage of processes


def test_processor_time_of_a_process_agrees_with_its_own_clock():
    before = time.process_time()
    assert before <= processor_seconds(os.getpid()) <= time.process_time()


def test_unique_set_size_grows_with_memory_that_the_process_allocates():
    before = unique_set_size(os.getpid())
    allocated = bytearray(b"x") * (64 * MEBIBYTE)
    assert unique_set_size(os.getpid()) - before > 60 * MEBIBYTE
    del allocated


def test_usage_of_the_machine_can_be_read():
    assert kernel_slab_bytes() > MEBIBYTE
    assert raise_descriptor_limit() >= 1024


def test_usage_of_an_ended_process_is_an_error():
    child = os.fork()
    if not child:
        os._exit(0)
    os.waitpid(child, 0)
    with pytest.raises(ProcessError):
        processor_seconds(child)
    with pytest.raises(ProcessError):
        unique_set_size(child)


# ---- the host and client endpoints


class FakeSocket:
    """Sends at most `max_bytes` of a line, or blocks if that is None."""

    def __init__(self, max_bytes=None):
        self.max_bytes, self.lines = max_bytes, []

    def send(self, line):
        if self.max_bytes is None:
            raise BlockingIOError
        self.lines.append(line)
        return min(len(line), self.max_bytes)


@pytest.mark.parametrize("length", deliveries.LINE_LENGTHS)
def test_stamped_line_has_the_requested_length_and_time(length):
    line = stamped_line(123456789, length)
    assert len(line) == length and line.endswith(b"x\r\n")
    assert int(line[:STAMP_DIGITS]) == 123456789


def test_sender_counts_complete_partial_and_blocked_lines_apart():
    sender = LineSender([], 1.0, 1.0, 100)
    now = time.monotonic()
    for sock in (FakeSocket(100), FakeSocket(40), FakeSocket(), FakeSocket(100)):
        sender.send(sock, now)
    assert (sender.sent, sender.partial, sender.blocked) == (2, 1, 1)
    assert len(sender.lateness_s) == 4 and min(sender.lateness_s) >= 0


def test_sender_uses_all_connections_in_turn():
    sockets = [FakeSocket(100) for _ in range(3)]
    sender = LineSender(sockets, 100_000.0, 0.05, 100)
    sender.run()
    assert sender.sent == sum(len(sock.lines) for sock in sockets) > 3
    assert max(len(sock.lines) for sock in sockets) - min(len(sock.lines) for sock in sockets) <= 1


def test_client_times_lines_that_arrive_in_fragments():
    endpoint = ClientsEndpoint()
    endpoint.length = 100
    client = Client(endpoint, b"a1")
    client.established = True
    data = b"".join(stamped_line(time.monotonic_ns() - 10**9, 100) for _ in range(3))
    for fragment in (data[:30], data[30:150], data[150:]):
        client.dataReceived(fragment)
    assert len(endpoint.delays_ns) == 3 and client.buffer == b""
    assert all(10**9 <= delay < 60 * 10**9 for delay in endpoint.delays_ns)


# ---- the bench


def test_node_that_fails_to_start_is_an_error_with_the_reason(monkeypatch):
    monkeypatch.setattr(NodeProcess, "config", lambda self: {"listen": f"127.0.0.1:{self.port}"})
    with (
        Bench() as running_bench,
        pytest.raises(MeasurementError, match="did not start: caperdeck: configuration"),
    ):
        running_bench.node().__enter__()


def test_endpoint_process_that_ended_is_an_error():
    endpoint = EndpointProcess("clients")
    endpoint.process.kill()
    endpoint.process.wait()
    with pytest.raises(MeasurementError, match="the process of clients ended"):
        endpoint.call("received")
    endpoint.end()


class FakeEndpoint:
    """An endpoint process that gives fixed answers by command."""

    def __init__(self, **answers):
        self.answers = answers

    def call(self, do, **values):
        answer = self.answers.get(do)
        return answer(**values) if callable(answer) else answer


def test_too_many_refused_connections_are_an_error():
    """A set-up with many retries costs more than what is to be measured; one in a hundred is tolerated."""

    class ClientsOnly:
        clients = FakeEndpoint(open={"refused": 12})

    node = NodeProcess.__new__(NodeProcess)
    node.bench, node.port = ClientsOnly, 1
    node.open_connections(1100)
    with pytest.raises(MeasurementError, match="12 of 1000 connections were refused"):
        node.open_connections(1000)


# ---- the measurements, with real processes


def test_memory_of_the_node_and_of_the_kernel_are_measured_apart():
    measured = by_name(memory.measure(True, ignore_progress))
    assert list(measured) == ["node.memory_own", "node.memory_kernel"]
    own, kernel = measured.values()
    for measurement in (own, kernel):
        assert (measurement.unit, measurement.against, measurement.source) == (
            "B", "standing connections", Source.PROCESSES,
        )  # fmt: skip
        assert [point.size for point in measurement.points] == list(memory.SMALL_SIZES)
    assert min(costs(own)) > 5 * MEBIBYTE


def test_set_up_idle_connections_and_closing_cost_processor_time():
    measured = by_name(connections.measure(True, ignore_progress))
    assert list(measured) == ["node.set_up", "node.idle", "node.end"]
    assert [measurement.unit for measurement in measured.values()] == ["s", "s/s", "s"]
    for measurement in measured.values():
        assert [point.size for point in measurement.points] == list(connections.SMALL_SIZES)
        assert min(costs(measurement)) > 0
    assert measured["node.set_up"].line.slope > 0


def test_deliveries_are_measured_for_each_line_length():
    measured = by_name(deliveries.measure(True, ignore_progress))
    assert list(measured) == [
        f"node.delivery{of}_{length}" for length in (100, 1000) for of in ("", "_p50", "_p99", "_p999")
    ]
    for length in (100, 1000):
        p50, p99, p999 = (costs(measured[f"node.delivery_{p}_{length}"]) for p in ("p50", "p99", "p999"))
        assert all(0 < a <= b <= c for a, b, c in zip(p50, p99, p999, strict=True))
        processor = measured[f"node.delivery_{length}"]
        assert (processor.unit, processor.against) == ("s/s", "lines a second")
        assert min(costs(processor)) > 0
        assert "20 idle ones beside" in processor.note
        assert "p999 rests on fewer" in measured[f"node.delivery_p999_{length}"].note


# ---- deliveries, on a fake bench of known cost

FIXED_COST, LINE_COST = 0.02, 1e-4  # processor seconds a second without lines, and for each line


class FakeBench:
    """A bench and its node in one, with its own clock; saturated beyond 1 / LINE_COST lines a second."""

    def __init__(self, late_from=1e9, clients_line_cost=1e-5):
        self.now, self.used = 0.0, 0.0
        self.late_from, self.clients_line_cost = late_from, clients_line_cost
        self.hosts = FakeEndpoint(send=self.send)
        self.clients = FakeEndpoint(received=self.report_received, delays=self.report_delays)

    def monotonic(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds
        self.received = self.sent

    def processor_time(self):
        return self.used

    def send(self, prefix, rate, seconds, length):
        share = min(FIXED_COST + LINE_COST * rate, 1.0)
        self.sent, self.received = round(rate * seconds), round((share - FIXED_COST) / LINE_COST * seconds)
        self.now, self.used = self.now + seconds, self.used + share * seconds
        late = 0.5 if rate >= self.late_from else 0.001
        self.clients_used = self.clients_line_cost * self.received
        return {"sent": self.sent, "blocked": 0, "cut": 0, "late": late}

    def report_received(self):
        return {"received": self.received, "processor": self.clients_used}

    def report_delays(self):
        return {"percentiles": {"p50": 0.001, "p99": 0.002, "p999": 0.003}}


def run_fake_rates(monkeypatch, **values):
    """Results and measurements of the rates from 1000 to 20000 on a fake bench."""
    fake, sizes = FakeBench(**values), Sizes(tuple(range(1000, 21000, 1000)), (50, 70), 10, 2.0, 0.01, True)
    monkeypatch.setattr(deliveries, "time", fake)
    results = deliveries.run_rates(fake, fake, sizes, 100, ignore_progress)
    return results, by_name(deliveries.make_measurements(results, sizes, 100, 70))


def test_cost_of_a_delivery_is_measured_up_to_saturation(monkeypatch):
    results, measured = run_fake_rates(monkeypatch)
    assert [result.rate for result in results if result.full] == [10000] and results[-1].full
    line = measured["node.delivery_100_beside_70"].line
    assert (line.fixed, line.slope) == pytest.approx((FIXED_COST, LINE_COST))
    p99 = measured["node.delivery_p99_100_beside_70"]
    assert [point.size for point in p99.points] == list(range(1000, 11000, 1000))
    assert "70 idle ones beside" in p99.note and "the node was full at 10000: 9800 delivered" in p99.note


@pytest.mark.parametrize(
    ("values", "reason"),
    [
        ({"late_from": 6000}, "void at 6000 and left out: the hosts' process was 500 ms late"),
        ({"clients_line_cost": 1.6e-4}, "void at 6000 and left out: the clients' process was full (0.96)"),
    ],
)
def test_point_limited_by_an_endpoint_is_left_out_and_ends_the_series(monkeypatch, values, reason):
    results, measured = run_fake_rates(monkeypatch, **values)
    assert [result.rate for result in results] == [1000, 2000, 3000, 4000, 5000, 6000]
    cost = measured["node.delivery_100_beside_70"]
    assert len(cost.points) == 5 and cost.line.slope == pytest.approx(LINE_COST)
    assert reason in cost.note


def test_one_late_attempt_is_repeated_and_does_not_end_the_series(monkeypatch):
    fake, progress_lines = FakeBench(), []
    send, late = fake.send, iter([0.001, 0.001, 0.7])

    def send_late_once(**values):
        return send(**values) | {"late": next(late, 0.001)}

    fake.hosts = FakeEndpoint(send=send_late_once)
    monkeypatch.setattr(deliveries, "time", fake)
    sizes = Sizes((1000, 2000, 3000), (50,), 10, 2.0, 0.01, True)
    results = deliveries.run_rates(fake, fake, sizes, 100, progress_lines.append)
    assert [result.rate for result in results] == [1000, 2000, 3000] and not any(
        result.void_reason for result in results
    )
    assert len(progress_lines) == 4 and progress_lines[1].endswith("void: the hosts' process was 700 ms late")


def test_lines_that_do_not_arrive_are_an_error(monkeypatch):
    fake = FakeBench()
    monkeypatch.setattr(deliveries, "time", fake)
    monkeypatch.setattr(fake, "sleep", lambda seconds: setattr(fake, "now", fake.now + seconds))
    fake.received, fake.clients_used = 90, 0.0
    with pytest.raises(MeasurementError, match="90 of 100 lines arrived"):
        deliveries.wait_for_delivery(fake, 100)


def test_partially_sent_lines_make_a_point_void():
    sent = {"sent": 9, "blocked": 0, "cut": 1, "late": 0.0}
    assert deliveries.void_reason(deliveries.FULL_SIZES, sent, 0.1) == "1 lines went out in part"


def test_note_of_a_valid_result_states_only_the_conditions():
    result = RateResult(100, 99.0, 0.5, {}, False)
    assert not result.void_reason and deliveries.make_note([result], deliveries.SMALL_SIZES, 20).endswith(
        "0.15 s a point"
    )


# ---- the list of hosts


def test_costs_of_the_list_of_hosts_are_measured_in_this_process():
    measured = by_name(host_list.measure(True, ignore_progress))
    assert list(measured) == [
        f"node.{name}" for name in ("list", "list_memory", "change", "tick", "placement")
    ]
    for measurement in measured.values():
        assert (measurement.against, measurement.source) == ("hosts", Source.IN_PROCESS)
        assert [point.size for point in measurement.points] == list(host_list.SMALL_SIZES)
        assert min(costs(measurement)) > 0
    assert measured["node.list_memory"].line.slope > 100


def test_median_covers_only_the_timed_calls(monkeypatch):
    clock = iter([0.0, 1.0, 10.0, 12.0, 20.0, 29.0])
    monkeypatch.setattr(host_list.time, "process_time", lambda: next(clock))
    assert host_list.median_processor_time(lambda: None, 3) == 2.0


def test_placement_without_a_connection_is_an_error():
    """A session that has to wait for a host costs less than a placement."""
    node = host_list.OfflineNode()
    with pytest.raises(MeasurementError, match="a placement came to"):
        node.place_session()


def test_sizes_beyond_the_descriptor_limit_are_left_out():
    limited_bench, progress_lines = Bench.__new__(Bench), []
    limited_bench.descriptors = 20000
    assert (
        limited_bench.feasible_sizes(memory.SIZES + connections.SIZES, progress_lines.append)
        and not progress_lines
    )
    limited_bench.descriptors = 6000
    assert limited_bench.feasible_sizes(memory.SIZES, progress_lines.append) == [500, 1000, 2000]
    assert progress_lines == ["left out, too many for 6000 descriptors: [4000, 8000]"]


def test_hosts_have_ten_times_the_capacity_of_the_largest_size():
    assert max(memory.SIZES) <= bench.HOSTS * bench.HOST_CAPACITY / 10
