//! Type aliases for identifiers.

/// Name of an entry instance, unique over all data centres.
pub type InstanceId = Box<str>;
/// Name of a data centre.
pub type DataCentreId = Box<str>;
/// Name of a client account.
pub type ClientAccountId = Box<str>;
/// Name of a model.
pub type ModelId = Box<str>;
/// Name of an adapter; unique only together with its model.
pub type AdapterId = Box<str>;
/// Name of a backend server.
pub type BackendServerId = Box<str>;
/// Name of a group of backend servers, of a key range or of a limit holder.
pub type GroupId = Box<str>;
/// Name of a plain service.
pub type ServiceId = Box<str>;
/// Name of an urgency class within a contract.
pub type ClassId = Box<str>;
/// Number of one replica, unique within its group and never reused.
pub type ReplicaId = u64;
/// Number of one order, unique within its group and never reused.
pub type OrderId = u64;
/// Number that identifies one run of a process; a restart gets a different one.
pub type Incarnation = u64;
/// Number that increases with every change of a group's owner.
pub type FencingNumber = u64;
/// Version of an object in the platform.
pub type ObjectVersion = u64;
/// Version of the configuration; it only increases.
pub type ConfigurationVersion = u64;
/// Random number that each conditional write stores in its value, to recognise its own write.
pub type Nonce = u64;
/// Identifier of one request, shown to callers and in logs.
pub type RequestId = Box<str>;
/// Identifier of one attempt to run a request on a backend server.
pub type AttemptId = Box<str>;
