// A TCP proxy on loopback for one link. While it is cut, nothing passes in either direction: what was sent is held, new
// connections hang.
import net from "node:net";

export class Link {
  #target;
  #pairs = new Set();
  #isCut = false;

  /** Listens on a free port of `host` and forwards to `target()`, which is asked at each connection. */
  static async open(host, target) {
    const link = new Link();
    link.#target = target;
    link.server = net.createServer((socket) => link.#accept(socket));
    await new Promise((resolve, reject) => {
      link.server.once("error", reject);
      link.server.listen(0, host, resolve);
    });
    link.host = host;
    link.port = link.server.address().port;
    return link;
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  #accept(inbound) {
    inbound.on("error", () => {});
    inbound.pause();
    const pair = { inbound, outbound: null };
    this.#pairs.add(pair);
    inbound.on("close", () => {
      this.#pairs.delete(pair);
      if (!this.#isCut) pair.outbound?.destroy();
    });
    if (!this.#isCut) this.#connect(pair);
  }

  #connect(pair) {
    const { host, port } = this.#target();
    const outbound = net.connect({ host, port, noDelay: true });
    pair.outbound = outbound;
    pair.inbound.setNoDelay(true);
    outbound.on("error", () => pair.inbound.destroy());
    outbound.on("close", () => {
      if (!this.#isCut) pair.inbound.destroy();
    });
    pair.inbound.pipe(outbound);
    outbound.pipe(pair.inbound);
  }

  /** Cuts the link. */
  cut() {
    this.#isCut = true;
    for (const { inbound, outbound } of this.#pairs) {
      inbound.unpipe();
      outbound?.unpipe();
      inbound.pause();
      outbound?.pause();
    }
  }
}
