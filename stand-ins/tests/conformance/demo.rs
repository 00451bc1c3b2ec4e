//! The demo serves every form through every host.

use expect_test::expect;
use stand_ins::demo;

#[tokio::test(flavor = "multi_thread")]
async fn every_form_is_served_by_every_host() {
    let demo = demo::spawn().await.unwrap();
    let lines = demo.check().await.unwrap().join("\n");
    expect![[r#"
        chat, streamed: 12 of 12 answers whole
        chat, whole: 12 of 12 answers whole
        text, streamed: 12 of 12 answers whole
        text, whole: 12 of 12 answers whole
        plain: 12 of 12 answers whole"#]]
    .assert_eq(&lines);
    assert!(demo.stop().await);
}
