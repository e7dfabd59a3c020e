/** What kept a command from being carried out. */
export type CliErrorCode = "unreachable" | "refused" | "badArgument";

/** A command that could not be carried out; the message is for the user, and names what was wrong. */
export class CliError extends Error {
  readonly code: CliErrorCode;

  constructor(code: CliErrorCode, message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = "CliError";
    this.code = code;
  }
}

/** The message of anything that was thrown. */
export function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
