"""What a node costs: the bench and its parts, at tiny sizes and on stand-ins whose costs are known."""

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
from caperdeck.lab.slopes.process import ProcessError, kernel_slab_bytes, unique_set_size, processor_seconds
from caperdeck.lab.slopes.record import Source
from caperdeck.state.descriptors import raise_descriptor_limit

MEBIBYTE = 1 << 20


def ignore_progress(text):
    pass


def by_name(measured):
    return {each.name: each for each in measured}


def costs(each):
    return [point.cost for point in each.points]


# ---- figures of processes


def test_the_processor_time_of_a_process_is_that_of_its_own_clock():
    before = time.process_time()
    assert before <= processor_seconds(os.getpid()) <= time.process_time()


def test_memory_that_a_process_takes_shows_in_its_own():
    before = unique_set_size(os.getpid())
    held = bytearray(b"x") * (64 * MEBIBYTE)
    assert unique_set_size(os.getpid()) - before > 60 * MEBIBYTE
    del held


def test_figures_of_the_machine_are_read():
    assert kernel_slab_bytes() > MEBIBYTE
    assert raise_descriptor_limit() >= 1024


def test_a_process_that_is_gone_has_no_figures():
    child = os.fork()
    if not child:
        os._exit(0)
    os.waitpid(child, 0)
    with pytest.raises(ProcessError):
        processor_seconds(child)
    with pytest.raises(ProcessError):
        unique_set_size(child)


# ---- the ends


class Socket:
    """Takes whole lines, parts of them, or none."""

    def __init__(self, takes=None):
        self.takes, self.lines = takes, []

    def send(self, line):
        if self.takes is None:
            raise BlockingIOError
        self.lines.append(line)
        return min(len(line), self.takes)


@pytest.mark.parametrize("length", deliveries.LENGTHS)
def test_a_stamped_line_has_its_length_and_its_time(length):
    line = stamped_line(123456789, length)
    assert len(line) == length and line.endswith(b"x\r\n")
    assert int(line[:STAMP_DIGITS]) == 123456789


def test_the_sender_tells_what_went_out_from_what_did_not():
    sender = LineSender([], 1.0, 1.0, 100)
    now = time.monotonic()
    for sock in (Socket(100), Socket(40), Socket(), Socket(100)):
        sender.send(sock, now)
    assert (sender.sent, sender.cut, sender.blocked) == (2, 1, 1)
    assert len(sender.late) == 4 and min(sender.late) >= 0


def test_lines_go_out_over_all_connections_in_turn():
    sockets = [Socket(100) for _ in range(3)]
    sender = LineSender(sockets, 100_000.0, 0.05, 100)
    sender.run()
    assert sender.sent == sum(len(sock.lines) for sock in sockets) > 3
    assert max(len(sock.lines) for sock in sockets) - min(len(sock.lines) for sock in sockets) <= 1


def test_a_client_times_lines_that_come_in_pieces():
    crowd = ClientsEndpoint()
    crowd.length = 100
    client = Client(crowd, b"a1")
    client.up = True
    data = b"".join(stamped_line(time.monotonic_ns() - 10**9, 100) for _ in range(3))
    for piece in (data[:30], data[30:150], data[150:]):
        client.dataReceived(piece)
    assert len(crowd.delays) == 3 and client.held == b""
    assert all(10**9 <= delay < 60 * 10**9 for delay in crowd.delays)


# ---- the bench


def test_a_node_that_does_not_start_is_void_with_its_reason(monkeypatch):
    monkeypatch.setattr(NodeProcess, "config", lambda self: {"listen": f"127.0.0.1:{self.port}"})
    with Bench() as made, pytest.raises(MeasurementError, match="did not start: caperdeck: configuration"):
        made.node().__enter__()


def test_an_end_that_ended_is_void():
    end = EndpointProcess("clients")
    end.process.kill()
    end.process.wait()
    with pytest.raises(MeasurementError, match="the process of clients ended"):
        end.call("received")
    end.end()


class Answers:
    """An end that gives the answers it was made with, by command."""

    def __init__(self, **answers):
        self.answers = answers

    def call(self, do, **values):
        answer = self.answers.get(do)
        return answer(**values) if callable(answer) else answer


def test_connections_that_were_refused_are_no_set_up():
    class Stand:
        clients = Answers(open={"refused": 12})

    node = NodeProcess.__new__(NodeProcess)
    node.bench, node.port = Stand, 1
    node.open(1100)
    with pytest.raises(MeasurementError, match="12 of 1000 connections were refused"):
        node.open(1000)


# ---- the parts, with real processes


def test_memory_is_told_apart_into_the_nodes_own_and_the_kernels():
    measured = by_name(memory.measure(True, ignore_progress))
    assert list(measured) == ["node.memory_own", "node.memory_kernel"]
    own, kernel = measured.values()
    for each in (own, kernel):
        assert (each.unit, each.against, each.source) == ("B", "standing connections", Source.PROCESSES)
        assert [point.size for point in each.points] == list(memory.SMALL_SIZES)
    assert min(costs(own)) > 5 * MEBIBYTE


def test_set_up_idle_and_end_cost_processor_time():
    measured = by_name(connections.measure(True, ignore_progress))
    assert list(measured) == ["node.set_up", "node.idle", "node.end"]
    assert [each.unit for each in measured.values()] == ["s", "s/s", "s"]
    for each in measured.values():
        assert [point.size for point in each.points] == list(connections.SMALL_SIZES)
        assert min(costs(each)) > 0
    assert measured["node.set_up"].line.slope > 0


def test_deliveries_are_measured_by_length():
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


# ---- deliveries, on a stand-in of known cost

BASE, EACH = 0.02, 1e-4  # processor seconds a second with no line, and of a line


class StandIn:
    """A bench and its node in one, on a clock of its own: full past 1 / EACH lines a second."""

    def __init__(self, late_from=1e9, clients_each=1e-5):
        self.now, self.used = 0.0, 0.0
        self.late_from, self.clients_each = late_from, clients_each
        self.hosts = Answers(send=self.send)
        self.clients = Answers(received=self.received, delays=self.delays)

    def monotonic(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds
        self.came = self.sent

    def processor(self):
        return self.used

    def send(self, prefix, rate, seconds, length):
        share = min(BASE + EACH * rate, 1.0)
        self.sent, self.came = round(rate * seconds), round((share - BASE) / EACH * seconds)
        self.now, self.used = self.now + seconds, self.used + share * seconds
        late = 0.5 if rate >= self.late_from else 0.001
        self.spent = self.clients_each * self.came
        return {"sent": self.sent, "blocked": 0, "cut": 0, "late": late}

    def received(self):
        return {"received": self.came, "processor": self.spent}

    def delays(self):
        return {"percentiles": {"p50": 0.001, "p99": 0.002, "p999": 0.003}}


def risen(monkeypatch, **values):
    """What rates from 1000 to 20000 on a stand-in come to."""
    stand, sizes = StandIn(**values), Sizes(tuple(range(1000, 21000, 1000)), (50, 70), 10, 2.0, 0.01, True)
    monkeypatch.setattr(deliveries, "time", stand)
    runs = deliveries.run_rates(stand, stand, sizes, 100, ignore_progress)
    return runs, by_name(deliveries.measurements(runs, sizes, 100, 70))


def test_the_cost_of_a_delivery_comes_out_up_to_the_full_process(monkeypatch):
    runs, measured = risen(monkeypatch)
    assert [run.rate for run in runs if run.full] == [10000] and runs[-1].full
    line = measured["node.delivery_100_beside_70"].line
    assert (line.fixed, line.slope) == pytest.approx((BASE, EACH))
    p99 = measured["node.delivery_p99_100_beside_70"]
    assert [point.size for point in p99.points] == list(range(1000, 11000, 1000))
    assert "70 idle ones beside" in p99.note and "the node was full at 10000: 9800 delivered" in p99.note


@pytest.mark.parametrize(
    ("values", "reason"),
    [
        ({"late_from": 6000}, "void at 6000 and left out: the hosts' process was 500 ms late"),
        ({"clients_each": 1.6e-4}, "void at 6000 and left out: the clients' process was full (0.96)"),
    ],
)
def test_a_point_that_an_end_limits_is_left_out_and_ends_the_rise(monkeypatch, values, reason):
    runs, measured = risen(monkeypatch, **values)
    assert [run.rate for run in runs] == [1000, 2000, 3000, 4000, 5000, 6000]
    cost = measured["node.delivery_100_beside_70"]
    assert len(cost.points) == 5 and cost.line.slope == pytest.approx(EACH)
    assert reason in cost.note


def test_a_moment_in_which_the_machine_was_busy_does_not_end_the_rise(monkeypatch):
    stand, said = StandIn(), []
    send, late = stand.send, iter([0.001, 0.001, 0.7])

    def send_late_once(**values):
        return send(**values) | {"late": next(late, 0.001)}

    stand.hosts = Answers(send=send_late_once)
    monkeypatch.setattr(deliveries, "time", stand)
    sizes = Sizes((1000, 2000, 3000), (50,), 10, 2.0, 0.01, True)
    runs = deliveries.run_rates(stand, stand, sizes, 100, said.append)
    assert [run.rate for run in runs] == [1000, 2000, 3000] and not any(run.void for run in runs)
    assert len(said) == 4 and said[1].endswith("void: the hosts' process was 700 ms late")


def test_lines_that_do_not_arrive_are_void(monkeypatch):
    stand = StandIn()
    monkeypatch.setattr(deliveries, "time", stand)
    monkeypatch.setattr(stand, "sleep", lambda seconds: setattr(stand, "now", stand.now + seconds))
    stand.came, stand.spent = 90, 0.0
    with pytest.raises(MeasurementError, match="90 of 100 lines arrived"):
        deliveries.wait_for_delivery(stand, 100)


def test_lines_sent_in_part_are_void():
    sent = {"sent": 9, "blocked": 0, "cut": 1, "late": 0.0}
    assert deliveries.void(deliveries.FULL_SIZES, sent, 0.1) == "1 lines went out in part"


def test_a_run_tells_what_it_was():
    run = RateResult(100, 99.0, 0.5, {}, False)
    assert not run.void and deliveries.make_note([run], deliveries.SMALL_SIZES, 20).endswith("0.15 s a point")


# ---- the list of hosts


def test_costs_of_the_list_of_hosts_are_measured_in_this_process():
    measured = by_name(host_list.measure(True, ignore_progress))
    assert list(measured) == [
        f"node.{name}" for name in ("list", "list_memory", "change", "tick", "placement")
    ]
    for each in measured.values():
        assert (each.against, each.source) == ("hosts", Source.IN_PROCESS)
        assert [point.size for point in each.points] == list(host_list.SMALL_SIZES)
        assert min(costs(each)) > 0
    assert measured["node.list_memory"].line.slope > 100


def test_the_median_of_what_was_timed_is_the_calls_own(monkeypatch):
    clock = iter([0.0, 1.0, 10.0, 12.0, 20.0, 29.0])
    monkeypatch.setattr(host_list.time, "process_time", lambda: next(clock))
    assert host_list.taken(lambda: None, 3) == 2.0


def test_a_placement_that_waits_is_no_placement():
    node = host_list.OfflineNode()
    with pytest.raises(MeasurementError, match="a placement came to"):
        node.place()


def test_the_bench_holds_what_the_descriptors_allow():
    made, said = Bench.__new__(Bench), []
    made.descriptors = 20000
    assert made.feasible_sizes(memory.SIZES + connections.SIZES, said.append) and not said
    made.descriptors = 6000
    assert made.feasible_sizes(memory.SIZES, said.append) == [500, 1000, 2000]
    assert said == ["left out, too many for 6000 descriptors: [4000, 8000]"]


def test_the_hosts_never_fill_up():
    assert max(memory.SIZES) <= bench.HOSTS * bench.HOST_CAPACITY / 10
