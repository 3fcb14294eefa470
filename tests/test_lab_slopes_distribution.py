"""Measurements of the distribution of configuration, at tiny sizes on real instances and nodes."""

import msgspec
import pytest
from test_lab_slopes_fleet import by_name, check, ignore_progress

from caperdeck.distribution.document import canonical, difference, encode_changes
from caperdeck.lab.slopes import distribution
from caperdeck.lab.slopes.errors import MeasurementError
from caperdeck.lab.slopes.publishing_instances import CUSTOMER_BYTES, PublishingInstances, make_document
from caperdeck.lab.slopes.record import Source
from caperdeck.lab.slopes.watching_nodes import NodesSample, WatchingNodes, wait_for
from caperdeck.lifecycle.merge import check_document


def test_distribution_is_measured_on_instances_and_nodes(tmp_path):
    # The idle cost is subtracted; at these sizes it is as large as the cost, so results can be below 0.
    measured = distribution.measure(True, ignore_progress)
    found = by_name(measured)
    for name in ("subscribe_cpu", "instance_version_cpu", "instance_version_cpu_by_size", "version_cpu"):
        assert len(found.pop(f"distribution.{name}").points) == 4
    check(found.values(), "distribution", {Source.PROCESSES}, tmp_path)
    assert found.keys() == {
        f"distribution.{name}"
        for name in (
            "node_cpu", "node_bytes", "node_memory", "instance_cpu", "instance_memory", "version_bytes",
            "version_memory", "commit_cpu", "history_memory",
        )
    }  # fmt: skip
    # One request and its answer per second and watch; each version sends the whole list.
    assert 150 < found["distribution.node_bytes"].line.slope < 1500
    assert found["distribution.version_bytes"].line.slope == pytest.approx(1.0, abs=0.05)


@pytest.mark.parametrize("size", [100, 1000, 100_000])
def test_documents_have_the_requested_size_and_each_change_sends_the_list(size):
    documents = [make_document(size, change) for change in (0, 1, size)]
    for document in documents:
        check_document(document)
        assert abs(len(canonical(document)) - size) < CUSTOMER_BYTES
    for before, after in zip(documents, documents[1:], strict=False):
        assert len(canonical(encode_changes(difference(before, after)))) > size / 2


def test_version_is_active_at_all_watching_nodes_and_their_processes_end(tmp_path):
    with PublishingInstances(tmp_path / "instances") as instances:
        with WatchingNodes(3, 2, instances.address, tmp_path / "nodes") as nodes:
            revision = instances.publish(1000)
            nodes.wait_until_applied(revision)
            instances.wait_until_reported("n2", revision)
            first, second = nodes.samples(), nodes.samples()
            processes = nodes.processes
        assert all(process.popen.returncode is not None for process in processes)
        instances.check()
    assert sorted(name for process in processes for name in process.names) == ["n0", "n1", "n2"]
    assert all(after.at > before.at for before, after in zip(first, second, strict=True))
    assert min(sample.bytes for sample in second) > 1000


def test_ended_process_changed_leader_and_timeout_are_errors(tmp_path, monkeypatch):
    with PublishingInstances(tmp_path / "instances") as instances:
        instances.leader = instances.watched
        with pytest.raises(MeasurementError, match="another instance leads"):
            instances.check()
        with WatchingNodes(1, 1, instances.address, tmp_path / "nodes") as nodes:
            nodes.processes[0].popen.kill()
            with pytest.raises(MeasurementError, match="a process of nodes ended"):
                nodes.wait_until_applied(99)
    monkeypatch.setattr("caperdeck.lab.slopes.watching_nodes.WAIT_TIMEOUT_S", 0.0)
    with pytest.raises(MeasurementError, match="nothing after 0 s"):
        wait_for(lambda: False, lambda: None, "nothing")


def test_idle_cost_of_the_same_time_is_subtracted():
    class FakeInstancesAndNodes(msgspec.Struct):
        watched: int = 0
        count: int = 2
        at: float = 0.0

        def meter(self, number):
            return self

        def read(self):
            return 3.0, 4.0

        def publish(self, size):
            return 1

        def wait_until_applied(self, revision):
            pass

        def samples(self):
            self.at += 5.0
            return [NodesSample(self.at, 0.0, int(100 * self.at))] * 2

    sizes = distribution.SMALL._replace(settle_s=0.0, versions=3)
    extra = distribution.extra_cost(
        FakeInstancesAndNodes(), FakeInstancesAndNodes(), distribution.IdleCost(0.0, 30.0, 0.25), 10, sizes
    )
    # Two processes with 500 bytes each in 5 s, 150 of them idle; 3 s of processor time in 4 s, 1 s idle.
    assert extra == distribution.ExtraCost(2 * 500 - 5 * 30.0, 3.0 - 4 * 0.25)
