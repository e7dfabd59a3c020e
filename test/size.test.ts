/** A single controller with 1,000 machines: starvation under overload, and the cost of scheduling rounds. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ControllerHarness, jobSpec, type TaskStatus } from "./support/controller-harness.js";
import { FakeStore } from "./support/fake-store.js";
import { electNextLeader } from "./support/leaders.js";

/** Agents that execute commands at once and send heartbeats every half second; tasks end after about `runMs`. */
class AgentFleet {
  readonly tasksByMachine = new Map<string, (TaskStatus & { until: number })[]>();
  /** The time at which the first task of each job started. */
  readonly firstStartAt = new Map<string, number>();
  done = 0;
  readonly #harness: ControllerHarness;
  readonly #machineFields: Record<string, object>;

  constructor(
    harness: ControllerHarness,
    names: readonly string[],
    machineFields: Record<string, object> = {},
  ) {
    this.#harness = harness;
    this.#machineFields = machineFields;
    for (const name of names) this.tasksByMachine.set(name, []);
    this.sendHeartbeats();
  }

  /** Sends a heartbeat from every agent. */
  sendHeartbeats(): void {
    for (const [name, tasks] of this.tasksByMachine)
      this.#harness.sendHeartbeat(name, tasks, this.#machineFields[name] ?? {});
  }

  /** Advances by half a second: executes commands, ends tasks that are due and sends heartbeats. */
  step(runMs: number): void {
    const harness = this.#harness;
    harness.advance(500);
    for (const { machine, commands } of harness.sentCommands.splice(0)) {
      let tasks = this.tasksByMachine.get(machine) ?? [];
      for (const command of commands) {
        const running = tasks.find(
          (task) =>
            task.uid === command.uid && task.task === command.task && task.attempt === command.attempt,
        );
        if (command.kind === "start" && !running) {
          // Runtimes vary, so that capacity becomes free gradually.
          const until = harness.now + runMs + (command.attempt % 7) * 900;
          tasks.push({
            uid: command.uid,
            task: command.task,
            attempt: command.attempt,
            state: "running",
            until,
          });
          if (!this.firstStartAt.has(command.uid)) this.firstStartAt.set(command.uid, harness.now);
        } else if (command.kind === "stop" && running) {
          running.until = 0;
          Object.assign(running, { state: "ended", exitReason: "stopped" });
        } else if (command.kind === "acknowledge") tasks = tasks.filter((task) => task !== running);
      }
      this.tasksByMachine.set(machine, tasks);
      harness.replyToCommands(machine, tasks, this.#machineFields[machine] ?? {});
    }
    for (const tasks of this.tasksByMachine.values()) {
      for (const task of tasks) {
        if (task.state !== "running" || harness.now < task.until) continue;
        Object.assign(task, { state: "ended", exitReason: "done" });
        this.done++;
      }
    }
    this.sendHeartbeats();
  }
}

const UNLIMITED = { cpu: 1_000_000_000, gpu: 0, ram: 0 };
const MACHINE_COUNT = 1000;
const TASKS_PER_MACHINE = 100;
/** The fencing queue's minimum rate: 40 sends a second. */
const MIN_SENDS_IN_500_MS = 20;

/** Returns a leader of 1,000 machines with 100 tasks each. */
function leaderOfLargeFleet(): { harness: ControllerHarness; fleet: AgentFleet } {
  const teams = [{ name: "red", guarantee: UNLIMITED, limit: UNLIMITED }];
  const harness = new ControllerHarness("n0", new FakeStore(), { settings: { teams } }).becomeLeader();
  const names = Array.from({ length: MACHINE_COUNT }, (_, i) => `M${i}`);
  const fleet = new AgentFleet(
    harness,
    names,
    Object.fromEntries(names.map((name, i) => [name, { zone: i % 3 === 0 ? "a" : "b" }])),
  );
  const need = { cpu: 40, gpu: 0, ram: 40 };
  for (let i = 0; i < 10; i++)
    harness.submit(
      jobSpec(`j-${i}`, {
        tasks: (MACHINE_COUNT * TASKS_PER_MACHINE) / 10,
        estimateS: 3600,
        need,
        imageGb: 0,
      }),
    );
  for (let i = 0; i < 60; i++) fleet.step(3_600_000);
  return { harness, fleet };
}

function countPlacements(harness: ControllerHarness): number {
  let count = 0;
  for (const machine of harness.controller.leaderTerm?.cluster.machines.values() ?? [])
    count += machine.placements.size;
  return count;
}

test("under constant overload the largest and the lowest-priority jobs of each kind start within four minutes", () => {
  const harness = new ControllerHarness().becomeLeader();
  const machineFields: Record<string, object> = {};
  const names: string[] = [];
  for (let i = 0; i < 3; i++) {
    names.push(`G${i}`);
    machineFields[`G${i}`] = { type: "gpu" };
  }
  names.push("S0", "S1");
  const fleet = new AgentFleet(harness, names, machineFields);
  const gang = {
    shape: "gang",
    priority: 2,
    types: ["gpu"],
    need: { cpu: 6000, gpu: 2000, ram: 8000 },
  } as const;
  const smallGang = { ...gang, tasks: 1 };
  let round = 0;
  // Shorter jobs of higher priority are submitted continuously, more of each kind than capacity allows.
  let submittedAt = 0;
  for (let step = 0; step < 520; step++) {
    if (step === 40) {
      submittedAt = harness.now;
      harness.submit(jobSpec("j-wide", { ...gang, tasks: 2, estimateS: 60, team: "blue", oneZone: true }));
      harness.submit(jobSpec("j-long", { tasks: 60, estimateS: 60, types: ["small"], team: "blue" }));
      harness.submit(jobSpec("j-idle", { priority: 0, types: ["small"], team: "blue" }));
    }
    if (step % 4 === 0) {
      harness.submit(
        jobSpec(`j-g${round}`, { ...smallGang, estimateS: 5, team: round % 2 ? "red" : "blue" }),
      );
      harness.submit(
        jobSpec(`j-s${round}`, { tasks: 6, estimateS: 5, priority: 2, types: ["small"], team: "red" }),
      );
      round++;
    }
    fleet.step(5000);
  }

  assert.ok(
    (harness.controller.leaderTerm?.scheduler.blocked.length ?? 0) > 10,
    "the overload lasts to the end",
  );

  for (const uid of ["j-wide", "j-long", "j-idle"]) {
    const firstStartAt = fleet.firstStartAt.get(uid);
    assert.ok(firstStartAt !== undefined, `${uid} never started`);
    assert.ok(
      firstStartAt - submittedAt < 240_000,
      `${uid} started after ${(firstStartAt - submittedAt) / 1000} s`,
    );
  }
});

test("with 100,000 tasks submitted, idle scheduling rounds and unchanged heartbeats of 1,000 machines cost almost nothing", () => {
  const harness = new ControllerHarness().becomeLeader();
  const names = Array.from({ length: 1000 }, (_, i) => `M${i}`);
  const fleet = new AgentFleet(harness, names);
  for (let i = 0; i < 10; i++)
    harness.submit(jobSpec(`j-${i}`, { tasks: 10_000, estimateS: 600, team: i % 2 ? "red" : "blue" }));
  for (let i = 0; i < 40; i++) fleet.step(3_600_000);
  const { leaderTerm } = harness.controller;

  assert.ok(leaderTerm);

  const placed = [...leaderTerm.cluster.machines.values()].reduce(
    (sum, machine) => sum + machine.placements.size,
    0,
  );
  assert.equal(placed, 40, "as many as the teams' quota limits allow");

  const examinedBefore = leaderTerm.scheduler.feasibleMachines.machinesExamined;
  const reconciledBefore = leaderTerm.agents.reconciliations;
  const revisionBefore = harness.store.revision;
  for (let i = 0; i < 20; i++) fleet.step(3_600_000);

  // In 10 s, with up to 10 rounds a second and 10 jobs queued, far fewer machines are examined than machines x jobs.
  assert.ok(
    leaderTerm.scheduler.feasibleMachines.machinesExamined - examinedBefore <= 2 * 1000,
    `${leaderTerm.scheduler.feasibleMachines.machinesExamined - examinedBefore} machines examined`,
  );
  assert.ok(
    leaderTerm.agents.reconciliations - reconciledBefore <= 1000,
    `${leaderTerm.agents.reconciliations - reconciledBefore} heartbeats reconciled`,
  );
  assert.ok(harness.store.revision - revisionBefore <= 5, "almost nothing is written");
});

test("machine records hold many machines each, and a new leader of 1,000 machines is ready soon after its election", () => {
  const leader = new ControllerHarness().becomeLeader();
  const names = Array.from({ length: 1000 }, (_, i) => `M${i}`);
  const fleet = new AgentFleet(leader, names);
  for (let i = 0; i < 20; i++) leader.submit(jobSpec(`j-${i}`, { tasks: 1, estimateS: 600 }));
  for (let i = 0; i < 20; i++) fleet.step(3_600_000);
  const machineRecords = [...leader.store.entries.keys()].filter((key) => key.startsWith("m/"));

  assert.ok(
    machineRecords.length >= 1 && machineRecords.length <= 30,
    `${machineRecords.length} machine records`,
  );

  const nextLeader = electNextLeader(leader);

  assert.ok(
    nextLeader.controller.leaderTerm?.agents.areRecordsLoaded,
    "the records are loaded after three range reads",
  );

  const recorded = nextLeader.controller.leaderTerm.cluster.machines.size;
  assert.ok(recorded > 0);

  // The fencing token goes to a few machines at a time, so that the leader's own lease keep-alives are never late.
  let maxPerTick = 0;
  for (let i = 0; i < 60; i++) {
    const before = nextLeader.sentCommands.length;
    nextLeader.advance(100);
    maxPerTick = Math.max(maxPerTick, nextLeader.sentCommands.length - before);
  }
  assert.ok(maxPerTick > 0 && maxPerTick <= 10, `${maxPerTick} commands in one tick`);
});

test("100,000 tasks on 1,000 machines are placed and adopted after failover, and the leader's work stays bounded when the agent leases of a third of the machines expire in one tick", () => {
  const { harness: leader, fleet } = leaderOfLargeFleet();
  assert.equal(countPlacements(leader), MACHINE_COUNT * TASKS_PER_MACHINE);
  assert.deepEqual(leader.errorLines, []);

  // A chunk holds up to 128 tasks. It is written when they are placed, and at most once more, after an interrupted
  // round, under the same key.
  const chunks = [...leader.store.entries.keys()].filter((key) => key.startsWith("p/")).length;
  assert.ok(chunks <= 10 * Math.ceil((MACHINE_COUNT * TASKS_PER_MACHINE) / 10 / 128), `${chunks} records`);

  const tasksByMachine = [...fleet.tasksByMachine];
  leader.store.expire(leader.now + 60_000);
  const teams = [{ name: "red", guarantee: UNLIMITED, limit: UNLIMITED }];
  const nextLeader = new ControllerHarness("n1", leader.store, { settings: { teams } });
  nextLeader.now = leader.now + 60_000;
  nextLeader.becomeLeader();

  assert.ok(nextLeader.controller.leaderTerm?.agents.areRecordsLoaded);
  assert.equal(countPlacements(nextLeader), MACHINE_COUNT * TASKS_PER_MACHINE);

  const sendHeartbeats = (alive: readonly [string, (typeof tasksByMachine)[number][1]][], token: number) => {
    for (const [name, list] of alive) nextLeader.sendHeartbeat(name, list, { fencingToken: token });
  };
  const token = nextLeader.controller.leaderTerm.lease.fencingToken;
  sendHeartbeats(tasksByMachine, 1);
  nextLeader.advance(500);
  sendHeartbeats(tasksByMachine, token);

  assert.equal(
    countPlacements(nextLeader),
    MACHINE_COUNT * TASKS_PER_MACHINE,
    "all are adopted, none is started or stopped",
  );
  assert.deepEqual(nextLeader.commandedTasks("start", "j-0"), []);
  assert.deepEqual(nextLeader.commandedTasks("stop", "j-0"), []);

  // A third of the machines stops sending heartbeats for good: the effects of each tick stay bounded while their
  // placements end and the scheduler looks for other machines, all of which are full.
  const alive = tasksByMachine.filter((_, i) => i % 3 !== 0);
  const examinedBefore = nextLeader.controller.leaderTerm.scheduler.feasibleMachines.machinesExamined;
  let maxSent = 0;
  for (let i = 0; i < 60; i++) {
    const sent = nextLeader.sentCommands.length;
    nextLeader.advance(500);
    maxSent = Math.max(maxSent, nextLeader.sentCommands.length - sent);
    if (i % 4 === 0) sendHeartbeats(alive, token);
  }
  const remaining = countPlacements(nextLeader);

  assert.ok(remaining <= Math.ceil(alive.length * TASKS_PER_MACHINE), `${remaining} placements`);
  assert.ok(nextLeader.controller.leaderTerm, "it is still leader");
  assert.deepEqual(nextLeader.errorLines, []);
  assert.ok(maxSent <= 2 * MIN_SENDS_IN_500_MS, `${maxSent} direct commands in half a second`);

  const examined =
    nextLeader.controller.leaderTerm.scheduler.feasibleMachines.machinesExamined - examinedBefore;
  assert.ok(
    examined <= 20 * 10 * MACHINE_COUNT,
    `${examined} machines examined for ten jobs in thirty seconds`,
  );
});
