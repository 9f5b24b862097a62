package ridgemill.gateway.operator;

import ridgemill.deadline.DeadlinePolicy;
import ridgemill.gateway.front.http.HttpClientPolicy;

/**
 * What a file says of deadlines.
 *
 * @param policy what is made of them
 * @param terms how clients over HTTP may say them, and what becomes of their connections
 */
public record DeadlineSettings(DeadlinePolicy policy, HttpClientPolicy terms) { }
