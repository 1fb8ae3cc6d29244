/** Token streams that continue on another replica after a failure, without repeated or missing tokens. */
package org.apricotdeal.policy.stream;
