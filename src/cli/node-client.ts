import { CliError, messageOf } from "./errors.js";

const TIMEOUT_MS = 6000;

/** A request to a node. */
export interface NodeRequest {
  /** `host:port`. */
  readonly node: string;
  readonly method: "GET" | "POST" | "PATCH" | "PUT";
  readonly path: string;
  readonly body?: unknown;
}

/** Sends a request to a node and prints the response body; throws a CliError if the status is not 2xx. */
export async function callNode(request: NodeRequest): Promise<void> {
  const response = await send(request);
  const text = await response.text();
  process.stdout.write(`${text.trimEnd()}\n`);
  if (!response.ok) throw new CliError("refused", `${request.node} responded with status ${response.status}`);
}

async function send({ node, method, path, body }: NodeRequest): Promise<Response> {
  try {
    return await fetch(`http://${node}${path}`, {
      method,
      headers: body === undefined ? {} : { "content-type": "application/json" },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
  } catch (error) {
    // The error thrown by fetch only says that it failed; its cause contains the reason.
    const cause = error instanceof Error && error.cause !== undefined ? error.cause : error;
    throw new CliError("unreachable", `cannot reach ${node}: ${messageOf(cause)}`, { cause: error });
  }
}
