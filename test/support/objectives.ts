/** A wait-time objective, and a low-priority job that may be preempted to meet it. */

/** Requires that 90% of the jobs of this class start within 5 s. */
export const WAIT_OBJECTIVE = { kind: "wait", jobClass: "work", withinS: 5, share: 0.9 } as const;

/** A job of the lowest priority that writes checkpoints. */
export const IDLE_JOB = {
  jobClass: "idle",
  team: "blue",
  priority: 0,
  checkpointS: 15,
  estimateS: 600,
} as const;
