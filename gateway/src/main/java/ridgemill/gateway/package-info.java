/**
 * Assembles a proxy from its parts: configuration, start, warm-up, shutdown, messages between proxies, and one or
 * several event loops per process. {@link ridgemill.gateway.Service} is one proxy on one event loop;
 * {@link ridgemill.gateway.MultiLoopService} runs several of them in one process.
 */
package ridgemill.gateway;
