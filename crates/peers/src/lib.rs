//! Messages between routers over tarpc.
