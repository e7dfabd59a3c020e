import type { Trouble } from "./world.js";

/** A day without any trouble: others are made from it. */
export const NO_TROUBLE: Trouble = {
  crash: 0,
  cut: 0,
  outage: 0,
  hang: 0,
  taken: 0,
  error: 0,
  deaf: 0,
  copies: 0,
  lonely: 0,
  blink: 0,
  freeze: 0,
  masses: 0,
  roll: 0,
  meet: 0,
  cancelAtEnd: 0,
  upgrade: false,
};
