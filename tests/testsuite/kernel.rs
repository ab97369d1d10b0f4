//! Services register and find each other by name.

use limpetmux::kernel::{Kernel, KernelError, ServiceId};

#[tokio::test]
async fn finds_service_by_name() {
    let kernel = Kernel::new();
    let mut queue = kernel.register::<u32>(ServiceId::Control, 1).unwrap();

    let port = kernel.find::<u32>(ServiceId::Control).unwrap();
    port.send(7).await.unwrap();

    assert_eq!(queue.recv().await, Some(7));
}

#[test]
fn rejects_second_service_of_same_name() {
    let kernel = Kernel::new();
    let _queue = kernel.register::<u32>(ServiceId::Control, 1).unwrap();

    let second = kernel.register::<u32>(ServiceId::Control, 1).map(drop);

    assert_eq!(second, Err(KernelError::AlreadyRegistered(ServiceId::Control)));
}

#[test]
fn rejects_wrong_message_type() {
    let kernel = Kernel::new();
    let _queue = kernel.register::<u32>(ServiceId::Control, 1).unwrap();

    let port = kernel.find::<String>(ServiceId::Control).map(drop);

    assert_eq!(port, Err(KernelError::Mismatch(ServiceId::Control)));
}
