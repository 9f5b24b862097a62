/** What the control plane costs by its size: real registries and stores before hollow edge proxies and instances. */
package ridgemill.bench.scale;
