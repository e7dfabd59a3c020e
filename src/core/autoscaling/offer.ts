import type { MachineType } from "../model/deployment.js";
import type { Job } from "../model/job.js";
import { fitsMachineType } from "../model/machine.js";

/** A kind of machine that the cloud can create: a type in a zone, either spot or on-demand. */
export interface Offer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

/** Returns a key that is the same for equal offers; `Offer` objects are created anew for each use. */
export function offerKeyOf({ type, zone, spot }: Offer): string {
  return `${type.name} ${zone} ${spot ? "spot" : "on-demand"}`;
}

/** True if a task of the job may run on an empty machine of the offer. */
export function offerSuits({ spec }: Job, { type, zone, spot }: Offer): boolean {
  return fitsMachineType(spec, type) && (spec.zone === null || spec.zone === zone) && (spec.spot || !spot);
}
