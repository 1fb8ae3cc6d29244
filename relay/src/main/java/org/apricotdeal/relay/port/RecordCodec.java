package org.apricotdeal.relay.port;

import java.util.Optional;

import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.UpstreamVm;

/** Defines the keys and parses the records that the operator and the VMs write to the store. */
public interface RecordCodec {
    /**
     * Returns the prefix of the keys of VM entries.
     *
     * @return the prefix; the rest of a key is the id of the VM
     */
    String vmPrefix();

    /**
     * Returns the prefix of the keys that the operator writes.
     *
     * @return the prefix, which includes that of the catalogue key
     */
    String operatorPrefix();

    /**
     * Returns the key of the catalogue.
     *
     * @return the full key
     */
    String catalogueKey();

    /**
     * Returns the prefix of the keys by which the operator evacuates failure domains, whatever their values.
     *
     * @return the prefix, which begins with that of the operator; the rest of a key is the name of the failure domain
     */
    String evacuationPrefix();

    /**
     * Parses the entry of a VM.
     *
     * @param id id of the VM, from the entry's key
     * @param value value of the entry
     * @return the VM; empty if the entry is invalid
     */
    Optional<UpstreamVm> vm(String id, byte[] value);

    /**
     * Parses the position of a VM's entry among those that the VM has written.
     *
     * @param value value of the entry
     * @return the position; empty if the entry does not tell it
     */
    Optional<VmHeartbeat> heartbeat(byte[] value);

    /**
     * Parses a catalogue.
     *
     * @param value value of the catalogue key
     * @return the catalogue, or a description of the error
     */
    Result<RelayCatalogue, String> catalogue(byte[] value);
}
