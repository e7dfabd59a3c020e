import type { MachineType } from "../model/deployment.js";
import type { Job } from "../model/job.js";
import { fitsMachineType } from "../model/machine.js";

/** What the cloud can be asked to create: a machine type in a zone, as a spot or an on-demand machine. */
export interface Offer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

/** Names an offer: the same for equal ones, as offers are built anew where they are needed. */
export function offerKeyOf({ type, zone, spot }: Offer): string {
  return `${type.name} ${zone} ${spot ? "spot" : "ordinary"}`;
}

/** True if a task of the job may run on an empty machine of the offer. */
export function offerSuits({ spec }: Job, { type, zone, spot }: Offer): boolean {
  return fitsMachineType(spec, type) && (spec.zone === null || spec.zone === zone) && (spec.spot || !spot);
}
