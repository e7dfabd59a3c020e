/** Why a command failed. */
export type CliErrorCode = "unreachable" | "refused" | "badArgument";

/** Thrown if a command fails. The message states the reason and is shown to the user. */
export class CliError extends Error {
  readonly code: CliErrorCode;

  constructor(code: CliErrorCode, message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = "CliError";
    this.code = code;
  }
}

/** Returns the message of any thrown value. */
export function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
