import net from "node:net";
import { Packr, UnpackrStream } from "msgpackr";
import type { Endpoint, Settings } from "../config/settings.js";
import type { PeerMessage } from "../core/messages/peers.js";
import { decodeHello, decodePeerMessage, encodeHello, encodePeerMessage } from "../protocol/peers.js";

const RECONNECT_MS = 1000;
const CONNECT_TIMEOUT_MS = 1500;
/**
 * The most that may wait to be sent to a peer, for each connection this node may have: after a restart the heartbeats of
 * all agents come at once.
 */
const BACKLOG_BYTES_PER_CONNECTION = 2048;
/** With so many bytes waiting for a peer, what can wait is not sent yet. */
const CONGESTED_BYTES = 256 * 1024;
/** Inbound connections for each node: a peer that restarts opens new ones before its old ones are closed. */
const INBOUND_PER_NODE = 8;

/** What comes of the peer connections. */
export interface PeerEvents {
  /** The connection that this node opened to a peer is up, or was lost. */
  linkChanged(node: string, up: boolean): void;
  /** A peer sent a message. */
  messageReceived(from: string, message: PeerMessage): void;
}

interface Link {
  readonly socket: net.Socket;
  up: boolean;
}

/** Connections between the nodes: each node sends on those it opened and receives on those it accepted. */
export class Peers {
  readonly #settings: Settings;
  readonly #events: PeerEvents;
  readonly #links = new Map<string, Link>();
  readonly #server: net.Server;
  readonly #packr = new Packr({ useRecords: false });
  /** The connection on which each peer last sent its hello. */
  readonly #accepted = new Map<string, net.Socket>();

  constructor(settings: Settings, events: PeerEvents) {
    this.#settings = settings;
    this.#events = events;
    this.#server = net.createServer((socket) => this.#accept(socket));
    this.#server.maxConnections = INBOUND_PER_NODE * (settings.peers.length + 1);
  }

  /** Listens for the peers and connects to them; a lost connection is opened again until the process ends. */
  listen(onError: (error: Error) => void): void {
    const { peerListen, peers } = this.#settings;
    this.#server.on("error", onError);
    this.#server.listen(peerListen.port, peerListen.host);
    for (const peer of peers) this.#connect(peer.node, peer.at);
  }

  /**
   * Sends a message to a peer; without a connection it is dropped, as nothing depends on any one message. It is packed at
   * once: a packing stream would queue messages for a peer that doesn't read as objects, which no bound in bytes counts.
   */
  send(to: string, message: PeerMessage): void {
    const link = this.#links.get(to);
    if (!link?.up) return;
    const maxBacklogBytes = this.#settings.maxConnections * BACKLOG_BYTES_PER_CONNECTION;
    if (link.socket.writableLength > maxBacklogBytes) link.socket.destroy();
    else link.socket.write(this.#packr.pack(encodePeerMessage(message)));
  }

  /** Whether a peer takes messages more slowly than they come: then those that may be dropped or batched should wait. */
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
      this.#events.linkChanged(node, true);
    });
    // "close" follows every error.
    socket.on("error", () => {});
    socket.on("close", () => {
      clearTimeout(timer);
      if (link.up) this.#events.linkChanged(node, false);
      link.up = false;
      setTimeout(() => this.#connect(node, endpoint), RECONNECT_MS);
    });
    // Nothing comes on it, but only a socket that is read tells of its end.
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

  /** The peer that a first frame names; null, and the connection closed, if it names none. */
  #identify(socket: net.Socket, frame: unknown): string | null {
    const node = decodeHello(frame);
    if (node === null || !this.#settings.peers.some((peer) => peer.node === node)) {
      socket.destroy();
      return null;
    }
    // The peer has restarted: what its previous process still sends must not be taken for its own.
    this.#accepted.get(node)?.destroy();
    this.#accepted.set(node, socket);
    return node;
  }

  #receive(socket: net.Socket, from: string, frame: unknown): void {
    const message = decodePeerMessage(frame);
    if (message && this.#accepted.get(from) === socket) this.#events.messageReceived(from, message);
  }
}
