import net from "node:net";
import { Packr, UnpackrStream } from "msgpackr";
import type { Settings } from "../config/settings.js";
import type { PeerMessage } from "../core/messages/peers.js";
import { decodeHello, decodePeerMessage, encodeHello, encodePeerMessage } from "../protocol/peers.js";

const RECONNECT_MS = 1000;
const CONNECT_TIMEOUT_MS = 1500;
/** What may wait for a peer, for each connection this node may have: after a restart all workers' reports come at once. */
const BACKLOG_EACH = 2048;
/** With so many bytes waiting for a peer, what can wait is not sent yet. */
const CONGESTED_BYTES = 256 * 1024;

export interface PeerEvents {
  link(node: string, up: boolean): void;
  message(from: string, message: PeerMessage): void;
}

interface Link {
  readonly socket: net.Socket;
  up: boolean;
}

/** Links between the nodes: each node sends on the connections it opened and hears on those it accepted. */
export class Peers {
  readonly #settings: Settings;
  readonly #events: PeerEvents;
  readonly #links = new Map<string, Link>();
  readonly #server: net.Server;
  readonly #packr = new Packr({ useRecords: false });
  /** The connection each peer last said hello on. */
  readonly #accepted = new Map<string, net.Socket>();

  constructor(settings: Settings, events: PeerEvents) {
    this.#settings = settings;
    this.#events = events;
    this.#server = net.createServer((socket) => this.#accept(socket));
    this.#server.maxConnections = 8 * (settings.peers.length + 1);
  }

  listen(failed: (error: Error) => void): void {
    this.#server.on("error", failed);
    this.#server.listen(this.#settings.peerListen.port, this.#settings.peerListen.host);
    for (const peer of this.#settings.peers) this.#connect(peer.node, peer.at.host, peer.at.port);
  }

  /**
   * Messages to a peer that can't be reached are dropped: nothing depends on any one of them. They are packed at once:
   * a stream in between kept those for a peer that doesn't read as objects, which no bound of bytes counted.
   */
  send(to: string, message: PeerMessage): void {
    const link = this.#links.get(to);
    if (!link?.up) return;
    if (link.socket.writableLength > this.#settings.maxConnections * BACKLOG_EACH) link.socket.destroy();
    else link.socket.write(this.#packr.pack(encodePeerMessage(message)));
  }

  /** True while a peer takes messages more slowly than they come: what may be dropped or joined is better held back. */
  isCongested(to: string): boolean {
    const link = this.#links.get(to);
    return link?.up === true && link.socket.writableLength > CONGESTED_BYTES;
  }

  #connect(node: string, host: string, port: number): void {
    const socket = net.connect({ host, port, noDelay: true });
    const link: Link = { socket, up: false };
    this.#links.set(node, link);
    const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    socket.on("connect", () => {
      clearTimeout(timer);
      link.up = true;
      socket.write(this.#packr.pack(encodeHello(this.#settings.deployment.node)));
      this.#events.link(node, true);
    });
    socket.on("error", () => {});
    socket.on("close", () => {
      clearTimeout(timer);
      if (link.up) this.#events.link(node, false);
      link.up = false;
      setTimeout(() => this.#connect(node, host, port), RECONNECT_MS);
    });
    socket.resume();
  }

  #accept(socket: net.Socket): void {
    socket.setNoDelay(true);
    const stream = new UnpackrStream({ useRecords: false });
    let from: string | null = null;
    socket.on("error", () => {});
    stream.on("error", () => socket.destroy());
    stream.on("data", (raw: unknown) => {
      if (from === null) {
        const node = decodeHello(raw);
        if (node === null || !this.#settings.peers.some((peer) => peer.node === node)) socket.destroy();
        else {
          from = node;
          // It has come back: what its former process still sends must not be taken for its own.
          this.#accepted.get(node)?.destroy();
          this.#accepted.set(node, socket);
        }
        return;
      }
      const message = decodePeerMessage(raw);
      if (message && this.#accepted.get(from) === socket) this.#events.message(from, message);
    });
    socket.pipe(stream);
  }
}
