import net from "node:net";
import { Packr, UnpackrStream } from "msgpackr";
import type { Endpoint, Settings } from "../config/settings.js";
import type { PeerMessage } from "../core/messages/peers.js";
import { decodeHello, decodePeerMessage, encodeHello, encodePeerMessage } from "../protocol/peers.js";

const RECONNECT_MS = 1000;
const CONNECT_TIMEOUT_MS = 1500;
/**
 * Limit of the send backlog to a peer for each of this node's `max_connections`: after a restart the heartbeats of all
 * agents arrive at once.
 */
const BACKLOG_BYTES_PER_CONNECTION = 2048;
/** With a larger send backlog to a peer, messages that can wait are held back. */
const CONGESTED_BYTES = 256 * 1024;
/** Limit of inbound connections per node: a restarted peer opens new connections before its old ones are closed. */
const INBOUND_PER_NODE = 8;

/** Events that {@link PeerConnections} reports. */
export interface PeerConnectionEvents {
  /** The outbound connection to a peer was established or lost. */
  onLinkChanged(node: string, up: boolean): void;
  /** A message arrived from a peer. */
  onMessageReceived(from: string, message: PeerMessage): void;
}

interface Link {
  readonly socket: net.Socket;
  up: boolean;
}

/** Connections to the other nodes. A node sends on the connections that it opened and receives on those it accepted. */
export class PeerConnections {
  readonly #settings: Settings;
  readonly #events: PeerConnectionEvents;
  readonly #links = new Map<string, Link>();
  readonly #server: net.Server;
  readonly #packr = new Packr({ useRecords: false });
  /** The connection on which each peer last sent a hello frame. */
  readonly #accepted = new Map<string, net.Socket>();

  constructor(settings: Settings, events: PeerConnectionEvents) {
    this.#settings = settings;
    this.#events = events;
    this.#server = net.createServer((socket) => this.#accept(socket));
    this.#server.maxConnections = INBOUND_PER_NODE * (settings.peers.length + 1);
  }

  /** Listens for peers and connects to them; lost connections are re-established until the process exits. */
  listen(onError: (error: Error) => void): void {
    const { peerListen, peers } = this.#settings;
    this.#server.on("error", onError);
    this.#server.listen(peerListen.port, peerListen.host);
    for (const peer of peers) this.#connect(peer.node, peer.at);
  }

  /**
   * Sends a message to a peer, or drops it if the peer is not connected; nothing depends on any single message. If the
   * backlog exceeds its limit, the message is dropped and the connection closed. Messages are encoded at once: for a
   * peer that does not read, a `PackrStream` would queue them as objects, which the limit in bytes does not count.
   */
  send(to: string, message: PeerMessage): void {
    const link = this.#links.get(to);
    if (!link?.up) return;
    const maxBacklogBytes = this.#settings.maxConnections * BACKLOG_BYTES_PER_CONNECTION;
    if (link.socket.writableLength > maxBacklogBytes) link.socket.destroy();
    else link.socket.write(this.#packr.pack(encodePeerMessage(message)));
  }

  /** True if the send backlog to a peer is so large that messages that may be dropped or batched should wait. */
  isCongested(to: string): boolean {
    const link = this.#links.get(to);
    return link?.up === true && link.socket.writableLength > CONGESTED_BYTES;
  }

  #connect(node: string, endpoint: Endpoint): void {
    const socket = net.connect({ host: endpoint.host, port: endpoint.port, noDelay: true });
    const link: Link = { socket, up: false };
    this.#links.set(node, link);
    const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    socket.on("connect", () => {
      clearTimeout(timer);
      link.up = true;
      socket.write(this.#packr.pack(encodeHello(this.#settings.deployment.node)));
      this.#events.onLinkChanged(node, true);
    });
    // Handled by "close", which follows every error.
    socket.on("error", () => {});
    socket.on("close", () => {
      clearTimeout(timer);
      if (link.up) this.#events.onLinkChanged(node, false);
      link.up = false;
      setTimeout(() => this.#connect(node, endpoint), RECONNECT_MS);
    });
    // The peer sends nothing here, but "close" is only emitted while the socket is being read.
    socket.resume();
  }

  #accept(socket: net.Socket): void {
    socket.setNoDelay(true);
    const frames = new UnpackrStream({ useRecords: false });
    let from: string | null = null;
    socket.on("error", () => {});
    frames.on("error", () => socket.destroy());
    frames.on("data", (frame: unknown) => {
      if (from === null) from = this.#identify(socket, frame);
      else this.#receive(socket, from, frame);
    });
    socket.pipe(frames);
  }

  /** Returns the peer named in a first frame; closes the connection and returns null if it names no known peer. */
  #identify(socket: net.Socket, frame: unknown): string | null {
    const node = decodeHello(frame);
    if (node === null || !this.#settings.peers.some((peer) => peer.node === node)) {
      socket.destroy();
      return null;
    }
    // If the peer has restarted, messages of its previous process must not be attributed to the new one.
    this.#accepted.get(node)?.destroy();
    this.#accepted.set(node, socket);
    return node;
  }

  #receive(socket: net.Socket, from: string, frame: unknown): void {
    const message = decodePeerMessage(frame);
    if (message && this.#accepted.get(from) === socket) this.#events.onMessageReceived(from, message);
  }
}
