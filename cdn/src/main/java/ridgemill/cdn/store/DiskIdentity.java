package ridgemill.cdn.store;

import java.util.List;

/**
 * What a disk is given at its first use and keeps for good.
 *
 * @param id the identifier of the disk
 * @param founders the founders, see {@code NodeSettings}; may be empty
 */
record DiskIdentity(String id, List<String> founders) {}
