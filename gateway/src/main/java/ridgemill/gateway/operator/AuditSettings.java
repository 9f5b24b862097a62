package ridgemill.gateway.operator;

import java.nio.file.Path;

/**
 * What an operator file says of the record of versions.
 *
 * @param tellVersion whether nodes are told with each attempt who sends it, and under which version
 * @param requests how many of the last requests are kept one by one
 * @param directory where the record is kept in a file as well; null for nowhere
 * @param fileBytes how long that file may get
 */
record AuditSettings(boolean tellVersion, int requests, Path directory, long fileBytes) { }
